package org.hawthornglade.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.NotBlank;

/**
 * A caller key in the settings.
 *
 * @param key the secret
 * @param organisation the organisation that the key belongs to
 * @param serviceClass the service class of requests with this key
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
