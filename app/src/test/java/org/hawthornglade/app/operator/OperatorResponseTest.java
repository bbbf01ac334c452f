package org.hawthornglade.app.operator;

import static com.google.common.truth.Truth.assertThat;

import org.hawthornglade.app.ExitCode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class OperatorResponseTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "200|{}|OK",
                "202|{}|OK",
                "409|{\"error\": {\"code\": 4001}}|REFUSED",
                "504|{\"error\": {\"code\": 4007}}|UNKNOWN",
                "500|{\"error\": {\"code\": 9001}}|UNKNOWN",
                "502|{}|UNKNOWN",
                "400|{\"error\": {\"code\": 123456}}|UNKNOWN",
            })
    void mapsTheResponseToAnExitCode(int status, String body, ExitCode expected) throws Exception {
        OperatorResponse response = new OperatorResponse(status, OperatorHttp.MAPPER.readTree(body));
        assertThat(response.exitCode()).isEqualTo(expected);
    }
}
