package org.hawthornglade.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.hawthornglade.core.pace.PacingRules;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LoadControlSettingsTest {
    /** Settings files with the former setting must enable both rules; without any, nothing may be enabled. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{} | false | false | false",
                "{\"adaptivePacing\": true} | true | true | false",
                "{\"adaptivePacing\": true, \"concurrencyLimit\": false} | false | true | false",
                "{\"expectedTimeChoice\": true} | false | true | false",
                "{\"concurrencyLimit\": true, \"enginesCrashWhenFull\": true} | true | false | true",
            })
    void rulesOfPacingAreReadApart(String json, boolean limit, boolean choice, boolean memory) throws Exception {
        LoadControlSettings settings = GatewaySettings.loadControl(new ObjectMapper().readTree(json), false);
        assertThat(settings.pacingRules()).isEqualTo(new PacingRules(limit, choice, memory));
    }
}
