package org.hawthornglade.entry.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.Optional;
import org.hawthornglade.ports.table.Row;

/** Claims as the values of rows. */
final class ClaimJson {
    /** An answer with a larger body is not recorded. */
    static final int MAX_RECORDED_BYTES = 64 * 1024;

    private static final JsonMapper MAPPER = new JsonMapper();

    private ClaimJson() {}

    /** Returns the value of a claim that was just taken. */
    static String encodeClaimed(ClaimRequest claim, long nowMs) {
        return encode(new Claim(
                Claim.State.CLAIMED,
                claim.request().value(),
                claim.key().fingerprint(),
                nowMs,
                claim.deadlineAtMs(),
                0,
                null,
                null));
    }

    /** Returns the value of a claim whose call has ended. */
    static String encodeSettled(Settlement settlement, long nowMs) {
        RecordedResponse answer = settlement.response();
        boolean recorded = answer != null && answer.body().length <= MAX_RECORDED_BYTES;
        return encode(new Claim(
                settlement.state(),
                settlement.request().value(),
                settlement.key().fingerprint(),
                nowMs,
                settlement.deadlineAtMs(),
                answer == null ? 0 : answer.status(),
                recorded ? answer.contentType() : null,
                recorded ? Base64.getEncoder().encodeToString(answer.body()) : null));
    }

    /** Reads a claim; empty if the value is none. */
    static Optional<Claim> decode(Row row) {
        try {
            Claim claim = MAPPER.readValue(row.json(), Claim.class);
            boolean whole =
                    claim != null && claim.state() != null && claim.request() != null && claim.fingerprint() != null;
            return whole ? Optional.of(claim) : Optional.empty();
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static String encode(Claim claim) {
        try {
            return MAPPER.writeValueAsString(claim);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
