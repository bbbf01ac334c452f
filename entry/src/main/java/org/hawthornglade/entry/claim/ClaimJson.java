package org.hawthornglade.entry.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.Optional;
import org.hawthornglade.ports.table.Row;

/** Converts claims to and from the JSON values of their rows. */
final class ClaimJson {
    /** The largest response body that is recorded, in bytes. */
    static final int MAX_RECORDED_BYTES = 64 * 1024;

    private static final JsonMapper MAPPER = new JsonMapper();

    private ClaimJson() {}

    /** Encodes a claim that was just taken. */
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

    /** Encodes a claim whose call has ended. */
    static String encodeSettled(Settlement settlement, long nowMs) {
        RecordedResponse response = settlement.response();
        boolean recorded = response != null && response.body().length <= MAX_RECORDED_BYTES;
        return encode(new Claim(
                settlement.state(),
                settlement.request().value(),
                settlement.key().fingerprint(),
                nowMs,
                settlement.deadlineAtMs(),
                response == null ? 0 : response.status(),
                recorded ? response.contentType() : null,
                recorded ? Base64.getEncoder().encodeToString(response.body()) : null));
    }

    /** Decodes a claim; empty if the value of the row is not a valid claim. */
    static Optional<Claim> decode(Row row) {
        try {
            Claim claim = MAPPER.readValue(row.json(), Claim.class);
            boolean valid =
                    claim != null && claim.state() != null && claim.request() != null && claim.fingerprint() != null;
            return valid ? Optional.of(claim) : Optional.empty();
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
