package org.hawthornglade.node.auth;

/** The purposes of proofs; a proof made for one purpose is not valid for another. */
public final class ProofPurposes {
    /** The agent's proof over the entry's nonce. */
    public static final String AGENT_HELLO = "agent-hello";
    /** The entry's proof over the agent's nonce. */
    public static final String ENTRY_HELLO = "entry-hello";
    /** The entry's proof over an attempt's id and path. */
    public static final String ATTEMPT = "attempt";

    private ProofPurposes() {}
}
