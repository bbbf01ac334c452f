package org.hawthornglade.core.plan;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import org.hawthornglade.core.config.AdapterSpec;
import org.hawthornglade.core.config.ClassSpec;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.Fault;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.config.OrganisationSpec;
import org.hawthornglade.core.config.ServiceSpec;
import org.hawthornglade.core.id.OfficeId;
import org.hawthornglade.core.id.PlanId;

/** Applies an intent to a configuration and collects the faults of what does not apply. */
final class IntentApplier {
    private final Intent intent;
    private final Configuration base;
    private final List<Fault> faults = new ArrayList<>();

    IntentApplier(Intent intent, Configuration base) {
        this.intent = intent;
        this.base = base;
    }

    List<Fault> faults() {
        return List.copyOf(faults);
    }

    /** Returns the next configuration, which is valid only if there are no faults. */
    Configuration apply(OfficeId office, PlanId plan) {
        return new Configuration(
                base.version() + 1,
                office.value(),
                plan.value(),
                0,
                merge(
                        "organisations",
                        base.organisations(),
                        OrganisationSpec::id,
                        intent.organisations(),
                        intent.removeOrganisations()),
                merge("classes", base.classes(), ClassSpec::name, intent.classes(), intent.removeClasses()),
                merge("models", base.models(), ModelSpec::name, intent.models(), intent.removeModels()),
                merge("adapters", base.adapters(), AdapterSpec::name, intent.adapters(), intent.removeAdapters()),
                merge("services", base.services(), ServiceSpec::name, intent.services(), intent.removeServices()),
                intent.idle() == null ? base.idle() : intent.idle());
    }

    private <N, S> List<S> merge(
            String section,
            List<S> existing,
            Function<S, N> nameOf,
            List<? extends SpecChange<N, S>> changes,
            List<N> removals) {
        Map<N, S> merged = new LinkedHashMap<>();
        existing.forEach(spec -> merged.put(nameOf.apply(spec), spec));
        Set<N> touched = new HashSet<>();
        for (int i = 0; i < changes.size(); i++) {
            SpecChange<N, S> change = changes.get(i);
            if (isNamedOnce("/" + section + "/" + i, change.name(), touched)) {
                merged.put(change.name(), change.applyTo(merged.get(change.name())));
            }
        }
        String removalSection = "/remove" + Character.toUpperCase(section.charAt(0)) + section.substring(1);
        for (int i = 0; i < removals.size(); i++) {
            String path = removalSection + "/" + i;
            if (isNamedOnce(path, removals.get(i), touched) && merged.remove(removals.get(i)) == null) {
                invalid(path, "there is no '" + removals.get(i) + "'");
            }
        }
        return List.copyOf(merged.values());
    }

    private <N> boolean isNamedOnce(String path, N name, Set<N> touched) {
        if (Objects.isNull(name)) {
            invalid(path, "has no name");
            return false;
        }
        if (!touched.add(name)) {
            invalid(path, "'" + name + "' is named twice");
            return false;
        }
        return true;
    }

    private void invalid(String path, String message) {
        faults.add(new Fault(path, message, Fault.Kind.INVALID));
    }
}
