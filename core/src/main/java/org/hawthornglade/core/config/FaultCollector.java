package org.hawthornglade.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Collects faults so that all are reported at once. */
final class FaultCollector {
    private final List<Fault> faults = new ArrayList<>();

    List<Fault> faults() {
        return List.copyOf(faults);
    }

    void invalid(String path, String message) {
        faults.add(new Fault(path, message, Fault.Kind.INVALID));
    }

    void overBudget(String path, String message) {
        faults.add(new Fault(path, message, Fault.Kind.OVER_BUDGET));
    }

    void present(String path, Object value) {
        if (value == null || value.toString().isEmpty()) {
            invalid(path, "is missing");
        }
    }

    void range(String path, long value, long min, long max) {
        if (value < min || value > max) {
            invalid(path, "is " + value + ", must be from " + min + " to " + max);
        }
    }

    void positive(String path, double value, double max) {
        if (!(value > 0 && value <= max)) {
            invalid(path, "is " + value + ", must be above 0 and at most " + max);
        }
    }

    void known(String path, Object name, Collection<?> names, String kind) {
        if (name == null) {
            invalid(path, "is missing");
            return;
        }
        if (!names.contains(name)) {
            invalid(path, "names the unknown " + kind + " '" + name + "'");
        }
    }

    <T> void allKnown(String path, List<T> list, Collection<T> names, String kind) {
        Set<T> seen = new HashSet<>();
        for (int i = 0; i < list.size(); i++) {
            known(path + "/" + i, list.get(i), names, kind);
            if (!seen.add(list.get(i))) {
                invalid(path + "/" + i, "names '" + list.get(i) + "' twice");
            }
        }
    }

    /** Checks that a name is present and not yet in the set, and adds it to the set. */
    void unique(String path, Object name, Set<Object> seen) {
        if (name == null) {
            invalid(path, "is missing");
            return;
        }
        if (!seen.add(name)) {
            invalid(path, "'" + name + "' is not unique");
        }
    }
}
