package org.hawthornglade.protocol.frame;

/** Defines the HTTP headers of {@code POST /attempts/{attemptId}} from an entry to an agent. */
public final class AttemptHeaders {
    /** The request id, for the timeline. */
    public static final String REQUEST = "X-Hg-Request";
    /** The entry that sends the attempt. */
    public static final String ENTRY = "X-Hg-Entry";
    /** The base model that runs the attempt; absent for a call to a plain service. */
    public static final String MODEL = "X-Hg-Model";
    /** The adapter to apply; absent if none. */
    public static final String ADAPTER = "X-Hg-Adapter";
    /** The time that remains until the deadline, in milliseconds. */
    public static final String REMAINING_MS = "X-Hg-Remaining-Ms";
    /** The HTTP method at the endpoint. */
    public static final String METHOD = "X-Hg-Method";
    /** The path and query at the endpoint. */
    public static final String PATH = "X-Hg-Path";
    /** The caller's content type. */
    public static final String CONTENT_TYPE = "X-Hg-Content-Type";
    /** The prefix of the caller's headers that are passed to the endpoint; their names follow it. */
    public static final String PASS_PREFIX = "X-Hg-Pass-";
    /** The sender's configuration version. */
    public static final String CONFIG_VERSION = "X-Hg-Config-Version";
    /** Proof that the sender holds the cluster key: hex HMAC-SHA256 over attempt id and path. */
    public static final String PROOF = "X-Hg-Proof";
    /** The content type of the answer. */
    public static final String FRAMES_TYPE = "application/vnd.hawthornglade.frames";

    private AttemptHeaders() {}
}
