package org.hawthornglade.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.NotBlank;

/**
 * A caller's key as the settings name it.
 *
 * @param key the secret
 * @param organisation whose key it is
 * @param serviceClass the class of service of its requests
 */
public record CallerKey(
        @JsonProperty @NotBlank String key,
        @JsonProperty @NotBlank String organisation,
        @JsonProperty @NotBlank String serviceClass) {
    @Override
    public String toString() {
        return "CallerKey[organisation=" + organisation + ", serviceClass=" + serviceClass + "]";
    }
}
