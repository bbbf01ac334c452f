package org.hawthornglade.app.process;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.standin.engine.AnswerText;

/**
 * The result of a call as its caller received it.
 *
 * @param status the HTTP status; 0 if the connection broke before a response began
 * @param body the body, as far as it was received
 * @param broken whether the connection broke before the end of the response
 * @param durationMs duration of the call, in milliseconds
 */
record CallResult(int status, String body, boolean broken, long durationMs) {
    private static final Pattern CONTENT = Pattern.compile("\"content\":\"([^\"]*)\"");
    private static final Pattern CODE = Pattern.compile("\"code\":(\\d+)");
    private static final int OK = 200;

    /** Returns whether a stream is complete, belongs to the prompt and comes from a single execution. */
    boolean isCompleteStream(String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        Matcher matcher = CONTENT.matcher(body);
        while (matcher.find()) {
            text.append(matcher.group(1));
        }
        return status == OK
                && !broken
                && body.trim().endsWith("data: [DONE]")
                && AnswerText.isComplete(text.toString(), prompt, tokens);
    }

    /** Returns the result code of an error response; OK if there is none. */
    ResultCode resultCode() {
        Matcher matcher = CODE.matcher(body);
        return matcher.find()
                ? ResultCode.ofNumber(Integer.parseInt(matcher.group(1))).orElse(ResultCode.INTERNAL_ERROR)
                : ResultCode.OK;
    }

    /** Returns whether the response reports that nothing was run. */
    boolean reportedNotRun() {
        return resultCode() != ResultCode.OK && resultCode().execution() == Execution.NOT_RUN;
    }

    /** Returns whether the caller knows the outcome: a success or a result code. */
    boolean isConclusive() {
        return !broken && (status == OK || resultCode() != ResultCode.OK);
    }
}
