package org.hawthornglade.standin;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.dropwizard.configuration.ConfigurationFactory;
import io.dropwizard.configuration.ConfigurationFactoryFactory;
import io.dropwizard.configuration.JsonConfigurationFactory;
import jakarta.validation.Validator;

/** Creates configuration factories for JSON with comments. */
final class JsonWithCommentsFactory<T> implements ConfigurationFactoryFactory<T> {
    @Override
    public ConfigurationFactory<T> create(
            Class<T> type, Validator validator, ObjectMapper mapper, String propertyPrefix) {
        ObjectMapper withComments = mapper.copy();
        withComments.configure(JsonReadFeature.ALLOW_JAVA_COMMENTS.mappedFeature(), true);
        return new JsonConfigurationFactory<>(type, validator, withComments, propertyPrefix);
    }
}
