package org.hawthornglade.standin;

import com.google.common.flogger.FluentLogger;
import io.dropwizard.configuration.EnvironmentVariableSubstitutor;
import io.dropwizard.configuration.SubstitutingSourceProvider;
import io.dropwizard.core.Application;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.lifecycle.Managed;

/**
 * Runs stand-ins in one process: simulations of the platform's table service, instance list and weight store, of
 * engines and of plain services. Started with the arguments {@code server FILE}.
 */
public final class StandinApplication extends Application<StandinConfiguration> {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    @Override
    public String getName() {
        return "standin";
    }

    @Override
    public void initialize(Bootstrap<StandinConfiguration> bootstrap) {
        bootstrap.setConfigurationSourceProvider(new SubstitutingSourceProvider(
                bootstrap.getConfigurationSourceProvider(), new EnvironmentVariableSubstitutor(true)));
        bootstrap.setConfigurationFactoryFactory(new JsonWithCommentsFactory<>());
    }

    @Override
    public void run(StandinConfiguration configuration, Environment environment) {
        Standins standins = Standins.start(new StandinsSettings(configuration.getServers()));
        environment.lifecycle().manage(new Managed() {
            @Override
            public void stop() {
                standins.close();
            }
        });
        environment.jersey().register(new StandinIndexResource(standins));
        environment.healthChecks().register("standins", new StandinHealthCheck(standins));
        standins.names()
                .forEach(name -> LOG.atInfo().log("event=standin_listening name=%s uri=%s", name, standins.uri(name)));
    }
}
