package org.hawthornglade.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.NotBlank;

/**
 * An operator token in the settings.
 *
 * @param token the secret
 * @param office the office that the token belongs to
 */
public record OperatorToken(
        @JsonProperty @NotBlank String token,
        @JsonProperty @NotBlank String office) {
    @Override
    public String toString() {
        return "OperatorToken[office=" + office + "]";
    }
}
