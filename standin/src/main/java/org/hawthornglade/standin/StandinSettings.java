package org.hawthornglade.standin;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.hawthornglade.standin.engine.EngineSettings;
import org.hawthornglade.standin.fault.FaultScript;
import org.hawthornglade.standin.instance.InstanceListSettings;
import org.hawthornglade.standin.service.PlainServiceSettings;
import org.hawthornglade.standin.table.TableSettings;
import org.hawthornglade.standin.weight.WeightStoreSettings;

/** Settings of one stand-in; the field {@code kind} says of which. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = TableSettings.class, name = "table"),
    @JsonSubTypes.Type(value = InstanceListSettings.class, name = "instances"),
    @JsonSubTypes.Type(value = WeightStoreSettings.class, name = "weights"),
    @JsonSubTypes.Type(value = EngineSettings.class, name = "engine"),
    @JsonSubTypes.Type(value = PlainServiceSettings.class, name = "service")
})
public interface StandinSettings {
    /** Tells the stand-ins of one process apart. */
    String name();

    /** Where it listens; 0 picks a free port. */
    int port();

    /** The faults to start with; null for none. */
    FaultScript faults();
}
