package org.hawthornglade.app.check;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SettingsCheckerTest {
    private static final Path DEMO = Path.of("..", "conf", "demo");
    private static final String VALID = """
            {
              // An entry.
              "processName": "entry-1",
              "instanceId": "entry-1",
              "failureDomain": "east",
              "platform": {"tableServiceUri": "http://127.0.0.1:1", "instanceListUri": "http://127.0.0.1:2"},
              "clusterKeys": ["${CLUSTER_KEY}"],
              "operatorTokens": [{"token": "${TOKEN}", "office": "north"}],
              "heartbeatMs": 250
            }
            """;
    private static final Map<String, String> ENVIRONMENT = Map.of("CLUSTER_KEY", "0123456789abcdef", "TOKEN", "t");

    private static List<String> faults(String text) {
        return SettingsChecker.check(text, Role.ENTRY, ENVIRONMENT).stream()
                .map(fault -> fault.line() + " " + fault.path() + ": " + fault.message())
                .toList();
    }

    @Test
    void reportsNoFaultForValidSettings() {
        assertThat(faults(VALID)).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"heartbeatMs\": 250|\"heartbeatMs\": 1|9 /heartbeatMs: must be greater than or equal to 50",
                "\"heartbeatMs\": 250|\"heartbeatMs\": \"soon\"|9 /heartbeatMs: 'soon' is not valid",
                "\"heartbeatMs\": 250|\"heartbeatMs\": []|9 /heartbeatMs: must be of type",
                "\"heartbeatMs\": 250|\"heartBeatMs\": 250|9 /heartBeatMs: is not a known field",
                "\"office\": \"north\"|\"office\": \"\"|8 /operatorTokens/0/office: must not be blank",
                "\"failureDomain\": \"east\"|\"failureDomain\": null|5 /failureDomain: must not be blank",
                "${TOKEN}|${NO_TOKEN}|8 : the variable NO_TOKEN is not set",
                "[\"${CLUSTER_KEY}\"]|[]|7 /clusterKeys: must not be empty",
                "http://127.0.0.1:1|not a uri|6 /platform/tableServiceUri:",
                "\"heartbeatMs\": 250|\"heartbeatMs\": 250,,|9 : Unexpected character",
                "\"heartbeatMs\": 250|\"instanceId\": \"x\"|9 : Duplicate field 'instanceId'",
            })
    void reportsASingleFault(String valid, String faulty, String expected) {
        List<String> found = faults(VALID.replace(valid, faulty));
        assertThat(found).hasSize(1);
        assertThat(found.get(0)).startsWith(expected);
    }

    @Test
    void reportsAllFaultsInLineOrder() {
        String faulty = VALID.replace("\"east\"", "\"\"")
                .replace("\"office\"", "\"ofice\"")
                .replace("\"heartbeatMs\": 250", "\"heartbeatMs\": 1")
                .replace("${CLUSTER_KEY}", "${MISSING}");
        assertThat(faults(faulty).stream().map(fault -> fault.substring(0, fault.indexOf(':'))))
                .containsExactly(
                        "5 /failureDomain",
                        "7 ",
                        "8 /operatorTokens/0/office",
                        "8 /operatorTokens/0/ofice",
                        "9 /heartbeatMs")
                .inOrder();
    }

    @ParameterizedTest
    @CsvSource({"entry.json,ENTRY", "agent.json,AGENT", "service-agent.json,AGENT", "standins.json,STANDIN"})
    void demoSettingsAreValid(String file, Role role) throws Exception {
        String text = Files.readString(DEMO.resolve(file));
        Map<String, String> environment = new HashMap<>();
        Matcher variables = Pattern.compile("\\$\\{([A-Z0-9_]+)}").matcher(text);
        while (variables.find()) {
            String name = variables.group(1);
            environment.put(name, name.contains("PORT") ? "1024" : "0123456789abcdef");
        }
        assertThat(SettingsChecker.check(text, role, environment)).isEmpty();
    }
}
