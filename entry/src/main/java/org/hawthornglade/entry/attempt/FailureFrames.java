package org.hawthornglade.entry.attempt;

import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.protocol.gen.Frame;

/** Decodes the failures in REFUSED and FAILED frames. */
final class FailureFrames {
    private FailureFrames() {}

    static Failure failure(Frame frame) {
        ResultCode code = ResultCode.ofNumber(frame.getCode()).orElse(ResultCode.INTERNAL_ERROR);
        String message = frame.isSetMessage() ? frame.getMessage() : "";
        return Failure.retryAfter(code, message, Math.max(0, frame.getRetryAfterMs()));
    }
}
