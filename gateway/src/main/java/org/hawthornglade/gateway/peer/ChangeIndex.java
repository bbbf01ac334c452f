package org.hawthornglade.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.hawthornglade.core.id.InstanceId;

/** The instances in the order in which one property of them last changed. */
final class ChangeIndex {
    private final Map<InstanceId, Long> serials = new HashMap<>();
    private final TreeMap<Long, InstanceId> order = new TreeMap<>();

    /** Records a change; no two changes of the same index may have the same serial number. */
    void changed(InstanceId id, long serial) {
        Long earlier = serials.put(id, serial);
        if (earlier != null) {
            order.remove(earlier);
        }
        order.put(serial, id);
    }

    void retainAll(Set<InstanceId> present) {
        if (serials.keySet().retainAll(present)) {
            order.values().retainAll(present);
        }
    }

    /** Returns at most so many of the instances that changed after a serial number, those first that changed first. */
    List<InstanceId> since(long serial, int max) {
        List<InstanceId> changed = new ArrayList<>();
        for (InstanceId id : order.tailMap(serial, false).values()) {
            if (changed.size() == max) {
                break;
            }
            changed.add(id);
        }
        return changed;
    }

    /** Returns the serial number of the last change of an instance. */
    long serial(InstanceId id) {
        return serials.getOrDefault(id, 0L);
    }
}
