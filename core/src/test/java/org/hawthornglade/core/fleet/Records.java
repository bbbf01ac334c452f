package org.hawthornglade.core.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.id.SoftwareVersion;

/** Creates instance records for tests. */
public final class Records {
    public static final ServiceName SERVICE = ServiceName.of("drafts");
    public static final FailureDomain DOMAIN = FailureDomain.of("zone-a");

    private Records() {}

    /** Creates the record of a ready instance with some models loaded and others cached on disk. */
    public static InstanceRecord ready(String id, List<String> models, List<String> onDisk) {
        return record(id, false, 1, 1, models, onDisk);
    }

    /** Creates the next record of the same run, in which the instance has announced that it is leaving. */
    public static InstanceRecord leaving(String id, List<String> models) {
        return record(id, true, 1, 2, models, List.of());
    }

    /** Creates a record. */
    public static InstanceRecord record(
            String id, boolean leaving, long bornMs, long sequence, List<String> models, List<String> onDisk) {
        return record(id, DOMAIN, leaving, bornMs, sequence, models, List.of(), onDisk);
    }

    /** Creates a record of an instance in a given failure domain, with weights cached in memory and on disk. */
    public static InstanceRecord record(
            String id,
            FailureDomain domain,
            boolean leaving,
            long bornMs,
            long sequence,
            List<String> models,
            List<String> inMemory,
            List<String> onDisk) {
        Map<ModelName, Set<AdapterName>> loaded = new LinkedHashMap<>();
        models.forEach(model -> loaded.put(ModelName.of(model), Set.of()));
        return new InstanceRecord(
                InstanceId.of(id),
                SERVICE,
                SoftwareVersion.of("v1"),
                new InstanceAddress("10.0.0.1", 8_000),
                domain,
                64,
                leaving,
                OptionalLong.empty(),
                bornMs,
                sequence,
                loaded,
                names(inMemory),
                names(onDisk));
    }

    private static Set<ModelName> names(List<String> models) {
        return Set.copyOf(models.stream().map(ModelName::of).toList());
    }
}
