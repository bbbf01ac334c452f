package org.hawthornglade.core.result;

import java.util.Optional;

/**
 * The numbered outcomes of requests, orders and commands.
 *
 * <p>1xxx: invalid requests; 2xxx: refused for now; 3xxx: failed after the request may have started; 4xxx: operators;
 * 5xxx: the platform; 6xxx: between the system's own processes; 9xxx: internal errors. {@code docs/RESULT-CODES.md}
 * lists them all.
 */
public enum ResultCode {
    OK(0, Execution.RUN, 200, false),

    BAD_JSON(1001, Execution.NOT_RUN, 400, false),
    BAD_REQUEST(1002, Execution.NOT_RUN, 400, false),
    BODY_TOO_LARGE(1003, Execution.NOT_RUN, 413, false),
    MISSING_KEY(1004, Execution.NOT_RUN, 401, false),
    UNKNOWN_KEY(1005, Execution.NOT_RUN, 401, false),
    UNKNOWN_MODEL(1006, Execution.NOT_RUN, 404, false),
    FORBIDDEN_MODEL(1007, Execution.NOT_RUN, 403, false),
    UNKNOWN_SERVICE(1008, Execution.NOT_RUN, 404, false),
    UNKNOWN_OPERATION(1009, Execution.NOT_RUN, 404, false),
    FORBIDDEN_SERVICE(1010, Execution.NOT_RUN, 403, false),
    BAD_DEADLINE(1011, Execution.NOT_RUN, 400, false),
    MISSING_IDEMPOTENCY_KEY(1012, Execution.NOT_RUN, 400, false),
    IDEMPOTENCY_KEY_REUSED(1013, Execution.NOT_RUN, 422, false),
    WRONG_CREDENTIAL_KIND(1014, Execution.NOT_RUN, 403, false),
    SLOW_SENDER(1015, Execution.NOT_RUN, 408, false),

    QUEUE_FULL(2001, Execution.NOT_RUN, 503, true),
    DEADLINE_NOT_REACHABLE(2002, Execution.NOT_RUN, 503, true),
    DEADLINE_PASSED_WAITING(2003, Execution.NOT_RUN, 503, true),
    NO_ENDPOINT(2004, Execution.NOT_RUN, 503, true),
    NOT_READY(2005, Execution.NOT_RUN, 503, true),
    STOPPING(2006, Execution.NOT_RUN, 503, true),
    CLAIM_NOT_POSSIBLE(2007, Execution.NOT_RUN, 503, true),
    ORGANISATION_OVER_SHARE(2008, Execution.NOT_RUN, 429, true),
    MODEL_BEING_REMOVED(2009, Execution.NOT_RUN, 409, false),
    CANCELLED_BEFORE_START(2010, Execution.NOT_RUN, 503, true),
    ENDPOINTS_SHUT(2011, Execution.NOT_RUN, 503, true),
    ENDPOINTS_LIMITED(2012, Execution.NOT_RUN, 503, true),
    PROMPT_QUARANTINED(2013, Execution.NOT_RUN, 503, true),
    STREAM_VERSION_GONE(2014, Execution.NOT_RUN, 503, false),
    STREAM_ORIGIN_UNREADABLE(2015, Execution.NOT_RUN, 503, true),
    STREAM_ORIGIN_UNKNOWN(2016, Execution.NOT_RUN, 503, false),
    BODY_MEMORY_FULL(2017, Execution.NOT_RUN, 503, true),
    TEAM_OVER_QUOTA(2018, Execution.NOT_RUN, 429, true),

    OUTCOME_UNKNOWN(3001, Execution.UNKNOWN, 504, false),
    ANSWER_INCOMPLETE(3002, Execution.UNKNOWN, 502, false),
    CALL_IN_PROGRESS(3003, Execution.UNKNOWN, 409, true),
    DEADLINE_PASSED_RUNNING(3004, Execution.UNKNOWN, 504, false),
    ENDPOINT_FAILED(3005, Execution.UNKNOWN, 502, true),
    ALREADY_RUN(3006, Execution.RUN, 409, false),

    STALE_PLAN(4001, Execution.NOT_RUN, 409, false),
    UNKNOWN_PLAN(4002, Execution.NOT_RUN, 404, false),
    INTENT_INVALID(4003, Execution.NOT_RUN, 422, false),
    INTENT_DOES_NOT_FIT(4004, Execution.NOT_RUN, 422, false),
    UNKNOWN_INSTANCE(4005, Execution.NOT_RUN, 404, false),
    UNKNOWN_REQUEST(4006, Execution.NOT_RUN, 404, false),
    CONFIRM_OUTCOME_UNKNOWN(4007, Execution.UNKNOWN, 504, true),
    SETTINGS_INVALID(4008, Execution.NOT_RUN, 422, false),

    PLATFORM_UNAVAILABLE(5001, Execution.NOT_RUN, 503, true),
    PLATFORM_RATE_LIMITED(5002, Execution.NOT_RUN, 429, true),
    PLATFORM_OUTCOME_UNKNOWN(5003, Execution.UNKNOWN, 504, true),
    PLATFORM_REJECTED(5004, Execution.NOT_RUN, 500, false),

    PEER_NOT_AUTHENTICATED(6001, Execution.NOT_RUN, 401, false),
    MODEL_NOT_LOADED(6002, Execution.NOT_RUN, 503, true),
    AGENT_BUSY(6003, Execution.NOT_RUN, 503, true),
    AGENT_DRAINING(6004, Execution.NOT_RUN, 503, true),
    ATTEMPT_TOMBSTONED(6005, Execution.NOT_RUN, 409, false),
    DUPLICATE_ATTEMPT(6006, Execution.UNKNOWN, 409, false),
    MALFORMED_FRAME(6007, Execution.UNKNOWN, 502, false),
    STALE_FENCING_NUMBER(6008, Execution.NOT_RUN, 409, false),
    MEMORY_EXHAUSTED(6009, Execution.NOT_RUN, 503, true),
    ENGINE_REFUSED(6010, Execution.NOT_RUN, 503, true),

    INTERNAL_ERROR(9001, Execution.UNKNOWN, 500, false);

    private final int number;
    private final Execution execution;
    private final int httpStatus;
    private final boolean hasRetryAfter;

    ResultCode(int number, Execution execution, int httpStatus, boolean hasRetryAfter) {
        this.number = number;
        this.execution = execution;
        this.httpStatus = httpStatus;
        this.hasRetryAfter = hasRetryAfter;
    }

    /** Returns the code with the given number, if there is one. */
    public static Optional<ResultCode> ofNumber(int number) {
        for (ResultCode code : values()) {
            if (code.number == number) {
                return Optional.of(code);
            }
        }
        return Optional.empty();
    }

    public int number() {
        return number;
    }

    /** Returns whether a request that ends with this code was run. */
    public Execution execution() {
        return execution;
    }

    public int httpStatus() {
        return httpStatus;
    }

    /** Returns whether responses with this code have a retry-after time. */
    public boolean hasRetryAfter() {
        return hasRetryAfter;
    }
}
