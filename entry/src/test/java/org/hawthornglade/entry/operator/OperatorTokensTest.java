package org.hawthornglade.entry.operator;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.hawthornglade.core.id.OfficeId;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.entry.CallerKey;
import org.hawthornglade.entry.OperatorToken;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class OperatorTokensTest {
    private final OperatorTokens tokens = new OperatorTokens(
            List.of(new OperatorToken("secret-of-north", "north")), List.of(new CallerKey("key", "mills", "drafting")));

    @Test
    void mapsATokenToItsOffice() {
        assertThat(tokens.authenticate("Bearer secret-of-north").get()).isEqualTo(OfficeId.of("north"));
    }

    @ParameterizedTest
    @CsvSource(
            nullValues = "-",
            value = {
                "-,MISSING_KEY",
                "secret-of-north,MISSING_KEY",
                "Bearer secret,UNKNOWN_KEY",
                "Bearer key,WRONG_CREDENTIAL_KIND"
            })
    void rejectsOtherCredentials(String authorization, ResultCode code) {
        assertThat(tokens.authenticate(authorization).getLeft().code()).isEqualTo(code);
    }
}
