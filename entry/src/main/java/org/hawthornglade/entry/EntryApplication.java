package org.hawthornglade.entry;

import com.google.inject.Guice;
import com.google.inject.Injector;
import io.dropwizard.core.Application;
import io.dropwizard.core.server.AbstractServerFactory;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import jakarta.servlet.DispatcherType;
import java.util.EnumSet;
import org.glassfish.jersey.server.ServerProperties;
import org.hawthornglade.entry.caller.FailureMapper;
import org.hawthornglade.entry.caller.JsonErrorHandler;
import org.hawthornglade.entry.caller.ModelsResource;
import org.hawthornglade.entry.caller.ServicesResource;
import org.hawthornglade.entry.operator.OperatorResource;
import org.hawthornglade.entry.placement.ReconcilerLoop;
import org.hawthornglade.node.metrics.Metrics;
import org.hawthornglade.node.settings.JsonSettings;

/** The Dropwizard application of an entry. */
public final class EntryApplication extends Application<EntrySettings> {
    @Override
    public String getName() {
        return "entry";
    }

    @Override
    public void initialize(Bootstrap<EntrySettings> bootstrap) {
        JsonSettings.configure(bootstrap);
    }

    @Override
    public void run(EntrySettings settings, Environment environment) {
        // Otherwise Jersey buffers the first 8 KiB of each stream.
        environment.jersey().property(ServerProperties.OUTBOUND_CONTENT_LENGTH_BUFFER, 0);
        Injector injector = Guice.createInjector(new EntryModule(settings));
        environment.lifecycle().manage(injector.getInstance(EntryProcess.class));
        environment.jersey().register(injector.getInstance(ModelsResource.class));
        environment.jersey().register(injector.getInstance(ServicesResource.class));
        environment.lifecycle().manage(injector.getInstance(ReconcilerLoop.class));
        environment.jersey().register(injector.getInstance(OperatorResource.class));
        environment.jersey().register(injector.getInstance(Metrics.class));
        environment.jersey().register(injector.getInstance(FailureMapper.class));
        if (settings.getServerFactory() instanceof AbstractServerFactory server) {
            server.setRegisterDefaultExceptionMappers(false);
        }
        environment
                .servlets()
                .addFilter("in-flight", injector.getInstance(InFlightFilter.class))
                .addMappingForUrlPatterns(EnumSet.of(DispatcherType.REQUEST), false, "/*");
        environment.getApplicationContext().setErrorHandler(new JsonErrorHandler());
        environment.lifecycle().addServerLifecycleListener(server -> server.setErrorHandler(new JsonErrorHandler()));
        environment.lifecycle().addServerLifecycleListener(injector.getInstance(GracefulStop.class));
        environment.healthChecks().register("configuration", injector.getInstance(ConfigurationHealth.class));
    }
}
