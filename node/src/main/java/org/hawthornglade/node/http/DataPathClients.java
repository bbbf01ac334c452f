package org.hawthornglade.node.http;

import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;

/** Creates HTTP clients that forward requests and responses unchanged and never retry. */
public final class DataPathClients {
    private DataPathClients() {}

    /**
     * Creates a client with pooled connections; the caller closes it.
     *
     * @param maxPerAddress the maximum number of open connections to one address
     * @param maxTotal the maximum number of open connections in total
     * @param limits the time-outs and other limits of each connection
     */
    public static CloseableHttpClient create(int maxPerAddress, int maxTotal, ConnectionConfig limits) {
        return HttpClients.custom()
                .setConnectionManager(PoolingHttpClientConnectionManagerBuilder.create()
                        .setMaxConnPerRoute(maxPerAddress)
                        .setMaxConnTotal(maxTotal)
                        .setDefaultConnectionConfig(limits)
                        .build())
                .disableAutomaticRetries()
                .disableRedirectHandling()
                .disableCookieManagement()
                .disableContentCompression()
                .build();
    }
}
