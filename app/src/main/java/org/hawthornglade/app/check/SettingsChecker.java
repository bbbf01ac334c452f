package org.hawthornglade.app.check;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.dropwizard.jackson.Jackson;
import io.dropwizard.jersey.validation.Validators;
import jakarta.validation.ConstraintViolation;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Reports all faults of a settings file together: unset variables, syntax, unknown fields, types and ranges. */
public final class SettingsChecker {
    private static final Pattern VARIABLE = Pattern.compile("\\$\\{([A-Za-z0-9_]+)(?::-([^}]*))?}");
    private static final Pattern LIST_ELEMENT = Pattern.compile("\\.?<[^>]*>");
    private static final Pattern INDEX = Pattern.compile("\\[(\\d*)]");
    /** Replaces an unset variable, so that checking can continue; valid JSON both inside and outside quotes. */
    private static final String UNSET_PLACEHOLDER = "0";

    private final Map<String, String> environment;
    private final List<SettingsFault> faults = new ArrayList<>();

    private SettingsChecker(Map<String, String> environment) {
        this.environment = environment;
    }

    /**
     * Checks the text of a file.
     *
     * @param text the content of the file
     * @param role the kind of file
     * @param environment the variables that it may refer to
     * @return all faults, ordered by line and path
     */
    public static List<SettingsFault> check(String text, Role role, Map<String, String> environment) {
        SettingsChecker checker = new SettingsChecker(environment);
        checker.read(checker.substitute(text), role);
        return checker.faults.stream()
                .sorted(Comparator.comparingInt(SettingsFault::line).thenComparing(SettingsFault::path))
                .distinct()
                .toList();
    }

    private String substitute(String text) {
        StringBuilder result = new StringBuilder();
        Matcher matcher = VARIABLE.matcher(text);
        while (matcher.find()) {
            String value = environment.getOrDefault(matcher.group(1), matcher.group(2));
            if (value == null) {
                faults.add(new SettingsFault(
                        lineNumberAt(text, matcher.start()), "", "the variable " + matcher.group(1) + " is not set"));
                value = UNSET_PLACEHOLDER;
            }
            matcher.appendReplacement(result, Matcher.quoteReplacement(value));
        }
        matcher.appendTail(result);
        return result.toString();
    }

    private void read(String text, Role role) {
        ObjectMapper mapper = Jackson.newObjectMapper()
                .enable(JsonParser.Feature.ALLOW_COMMENTS)
                .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        try (JsonParser lineParser = mapper.createParser(text);
                JsonParser parser = mapper.createParser(text)) {
            JsonLineIndex lineIndex = JsonLineIndex.of(lineParser);
            FaultRecorder recorder = new FaultRecorder(lineIndex);
            mapper.addHandler(recorder);
            readValue(mapper, parser, role, lineIndex, recorder);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            faults.add(new SettingsFault(line, "", e.getOriginalMessage()));
        } catch (IOException e) {
            faults.add(new SettingsFault(0, "", e.getMessage()));
        }
    }

    private void readValue(
            ObjectMapper mapper, JsonParser parser, Role role, JsonLineIndex lineIndex, FaultRecorder recorder)
            throws IOException {
        Object value = null;
        try {
            value = mapper.readValue(parser, role.type());
        } catch (JsonMappingException e) {
            String pointer = pointerOf(e);
            faults.add(new SettingsFault(lineIndex.lineOf(pointer), pointer, e.getOriginalMessage()));
        }
        faults.addAll(recorder.faults());
        if (value != null) {
            addViolations(value, lineIndex);
        }
    }

    private void addViolations(Object value, JsonLineIndex lineIndex) {
        Set<String> faultyPaths = faults.stream().map(SettingsFault::path).collect(Collectors.toSet());
        for (ConstraintViolation<Object> violation : Validators.newValidator().validate(value)) {
            String pointer = pointerOf(violation.getPropertyPath().toString());
            if (!faultyPaths.contains(pointer)) {
                faults.add(new SettingsFault(lineIndex.lineOf(pointer), pointer, violation.getMessage()));
            }
        }
    }

    /** Converts a property path such as {@code callerKeys[0].key} into a JSON pointer. */
    private static String pointerOf(String propertyPath) {
        String withoutElements = LIST_ELEMENT.matcher(propertyPath).replaceAll("");
        return "/" + INDEX.matcher(withoutElements).replaceAll("/$1").replace('.', '/');
    }

    private static String pointerOf(JsonMappingException e) {
        return e.getPath().stream()
                .map(step -> "/" + (step.getFieldName() == null ? step.getIndex() : step.getFieldName()))
                .collect(Collectors.joining());
    }

    private static int lineNumberAt(String text, int index) {
        return (int) text.substring(0, index).chars().filter(c -> c == '\n').count() + 1;
    }
}
