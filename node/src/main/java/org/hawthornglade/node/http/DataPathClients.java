package org.hawthornglade.node.http;

import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;

/** Makes HTTP clients that pass requests and answers on as they are and never repeat one. */
public final class DataPathClients {
    private DataPathClients() {}

    /**
     * Creates a client with pooled connections; the caller closes it.
     *
     * @param maxPerAddress how many connections are open to one address at most
     * @param maxTotal how many are open in all at most
     * @param limits the limits of each connection
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
