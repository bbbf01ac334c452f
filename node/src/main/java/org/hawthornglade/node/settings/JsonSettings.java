package org.hawthornglade.node.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import io.dropwizard.configuration.EnvironmentVariableSubstitutor;
import io.dropwizard.configuration.JsonConfigurationFactory;
import io.dropwizard.configuration.SubstitutingSourceProvider;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.setup.Bootstrap;

/** Makes Dropwizard read settings as JSON with comments and replace {@code ${NAME}} from the environment. */
public final class JsonSettings {
    private JsonSettings() {}

    /** Configures a bootstrap to read settings in this form; unknown settings are errors. */
    public static <T extends Configuration> void configure(Bootstrap<T> bootstrap) {
        bootstrap.setConfigurationSourceProvider(new SubstitutingSourceProvider(
                bootstrap.getConfigurationSourceProvider(), new EnvironmentVariableSubstitutor(true)));
        bootstrap.setConfigurationFactoryFactory((type, validator, mapper, prefix) -> {
            mapper.enable(JsonParser.Feature.ALLOW_COMMENTS);
            mapper.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
            return new JsonConfigurationFactory<>(type, validator, mapper, prefix);
        });
    }
}
