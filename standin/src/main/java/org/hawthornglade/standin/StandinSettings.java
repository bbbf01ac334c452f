package org.hawthornglade.standin;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.hawthornglade.standin.engine.EngineSettings;
import org.hawthornglade.standin.fault.FaultScript;
import org.hawthornglade.standin.instance.InstanceListSettings;
import org.hawthornglade.standin.service.PlainServiceSettings;
import org.hawthornglade.standin.table.TableSettings;
import org.hawthornglade.standin.weight.WeightStoreSettings;

/** Settings of one stand-in; the field {@code kind} selects the kind of stand-in. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = TableSettings.class, name = "table"),
    @JsonSubTypes.Type(value = InstanceListSettings.class, name = "instances"),
    @JsonSubTypes.Type(value = WeightStoreSettings.class, name = "weights"),
    @JsonSubTypes.Type(value = EngineSettings.class, name = "engine"),
    @JsonSubTypes.Type(value = PlainServiceSettings.class, name = "service")
})
public interface StandinSettings {
    /** Returns the name, which is unique within the process. */
    String name();

    /** Returns the port to listen on; 0 selects a free port. */
    int port();

    /** Returns the initial faults; null for none. */
    FaultScript faults();
}
