#pragma once

namespace tamarackspan::wire {

class FrameReader;
struct MessageT;

} // namespace tamarackspan::wire
