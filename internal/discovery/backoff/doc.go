// Package backoff schedules when discovery is called again after a call to it has ended.
//
// Two things pull at it. A discovery with too many callers answers none of them in time, so that a large
// fleet has to back off. And the rule of draining servers has a clock that runs on whether an agent receives
// anything or not, and however its calls ended: what was changed while discovery could be reached counts as
// known a fixed time later. So a Schedule keeps since when changes may have been missed; the next call comes
// so early that another one still fits in before that binds.
//
// There is no input or output here, and no clock: every call brings the time, and random draws too. The same
// calls give the same answers. A Schedule is not safe for concurrent use.
package backoff
