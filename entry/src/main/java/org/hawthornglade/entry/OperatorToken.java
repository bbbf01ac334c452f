package org.hawthornglade.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.NotBlank;

/**
 * An operators' token as the settings name it.
 *
 * @param token the secret
 * @param office whose token it is
 */
public record OperatorToken(
        @JsonProperty @NotBlank String token,
        @JsonProperty @NotBlank String office) {
    @Override
    public String toString() {
        return "OperatorToken[office=" + office + "]";
    }
}
