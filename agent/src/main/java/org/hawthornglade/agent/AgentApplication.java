package org.hawthornglade.agent;

import com.google.inject.Guice;
import com.google.inject.Injector;
import io.dropwizard.core.Application;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import org.eclipse.jetty.util.component.LifeCycle;
import org.glassfish.jersey.server.ServerProperties;
import org.hawthornglade.agent.attempt.AttemptsResource;
import org.hawthornglade.node.metrics.Metrics;
import org.hawthornglade.node.settings.JsonSettings;

/** Runs the agent as a Dropwizard application. */
public final class AgentApplication extends Application<AgentSettings> {
    @Override
    public String getName() {
        return "agent";
    }

    @Override
    public void initialize(Bootstrap<AgentSettings> bootstrap) {
        JsonSettings.configure(bootstrap);
    }

    @Override
    public void run(AgentSettings settings, Environment environment) {
        // Without this, Jersey buffers the first 8 KiB of each stream.
        environment.jersey().property(ServerProperties.OUTBOUND_CONTENT_LENGTH_BUFFER, 0);
        Injector injector = Guice.createInjector(new AgentModule(settings));
        AgentProcess process = injector.getInstance(AgentProcess.class);
        environment.lifecycle().manage(process);
        environment.lifecycle().addEventListener(new DrainBeforeStop(process));
        environment.jersey().register(injector.getInstance(AttemptsResource.class));
        environment.jersey().register(injector.getInstance(Metrics.class));
    }

    /** Drains while the server still serves requests: Jetty notifies its listeners before it closes anything. */
    private record DrainBeforeStop(AgentProcess process) implements LifeCycle.Listener {
        @Override
        public void lifeCycleStopping(LifeCycle server) {
            process.drain();
        }
    }
}
