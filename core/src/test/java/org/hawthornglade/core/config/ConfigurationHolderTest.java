package org.hawthornglade.core.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

/** Checks that configurations offered in any order never replace a newer one. */
final class ConfigurationHolderTest {
    @Property(tries = 200, seed = "20260105")
    void versionOnlyIncreases(@ForAll @Size(max = 30) List<@LongRange(min = 1, max = 20) Long> versions) {
        ConfigurationHolder holder = new ConfigurationHolder();
        List<Long> notifiedVersions = new ArrayList<>();
        holder.addListener(configuration -> notifiedVersions.add(configuration.version()));
        long highest = 0;
        for (long version : versions) {
            boolean applied = holder.offer(Configurations.withModels(version, List.of()));
            assertThat(applied).isEqualTo(version > highest);
            highest = Math.max(highest, version);
            assertThat(holder.current().version()).isEqualTo(highest);
        }
        assertThat(notifiedVersions).isInStrictOrder();
    }
}
