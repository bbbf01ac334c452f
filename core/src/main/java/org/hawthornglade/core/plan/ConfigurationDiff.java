package org.hawthornglade.core.plan;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.hawthornglade.core.config.AdapterSpec;
import org.hawthornglade.core.config.ClassSpec;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.config.OrganisationSpec;
import org.hawthornglade.core.config.ServiceSpec;

/** Computes the differences between two configurations. */
public final class ConfigurationDiff {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final List<Change> changes = new ArrayList<>();

    private ConfigurationDiff() {}

    /** Returns the differences by section and, within a section, in the order of the entries. */
    public static List<Change> between(Configuration before, Configuration after) {
        ConfigurationDiff diff = new ConfigurationDiff();
        diff.section("organisations", before.organisations(), after.organisations(), OrganisationSpec::id);
        diff.section("classes", before.classes(), after.classes(), ClassSpec::name);
        diff.section("models", before.models(), after.models(), ModelSpec::name);
        diff.section("adapters", before.adapters(), after.adapters(), AdapterSpec::name);
        diff.section("services", before.services(), after.services(), ServiceSpec::name);
        diff.section("idle", List.of(before.idle()), List.of(after.idle()), spec -> "");
        return List.copyOf(diff.changes);
    }

    private <S> void section(String section, List<S> before, List<S> after, Function<S, Object> nameOf) {
        Map<String, S> unmatched = new LinkedHashMap<>();
        before.forEach(spec -> unmatched.put(String.valueOf(nameOf.apply(spec)), spec));
        for (S spec : after) {
            String name = String.valueOf(nameOf.apply(spec));
            S previous = unmatched.remove(name);
            if (previous == null) {
                changes.add(new Change(Change.Kind.ADD, section, name, List.of()));
            } else if (!previous.equals(spec)) {
                changes.add(new Change(Change.Kind.CHANGE, section, name, fields(previous, spec)));
            }
        }
        unmatched.keySet().forEach(name -> changes.add(new Change(Change.Kind.REMOVE, section, name, List.of())));
    }

    private static List<Change.FieldChange> fields(Object before, Object after) {
        JsonNode oldTree = MAPPER.valueToTree(before);
        JsonNode newTree = MAPPER.valueToTree(after);
        List<Change.FieldChange> fields = new ArrayList<>();
        for (Iterator<String> names = newTree.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!newTree.get(name).equals(oldTree.get(name))) {
                fields.add(new Change.FieldChange(
                        name,
                        String.valueOf(oldTree.get(name)),
                        newTree.get(name).toString()));
            }
        }
        return fields;
    }
}
