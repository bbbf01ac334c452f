import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Crashes one server after the other while some answers have neither a length nor chunks. */
public final class PlainCrash {
    private static final String SERVICE = "desk-1";
    private static final String HOST_NAME = "desk.example";
    private static final int SERVERS = 4;
    private static final int CRASHES = 30;
    private static final long DOWN_MS = 1_000;
    private static final long PAUSE_MS = 2_000;
    private static final int BODY_BYTES = 4_800;
    private static final long WORK_MS = 90;
    private static final int UNFRAMED_OF = 20;
    private static final int REQUESTERS = 24;

    private final Deployment deployment;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger truncated = new AtomicInteger();
    private final int[] ports = new int[SERVERS];
    private final Process[] servers = new Process[SERVERS];

    private PlainCrash(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] args) throws Exception {
        int exit = 2;
        try (Deployment deployment = new Deployment(Path.of(args[0]), true)) {
            exit = new PlainCrash(deployment).run();
        } catch (IllegalStateException | IOException e) {
            System.out.println("could not run: " + e);
        }
        System.exit(exit);
    }

    private static String config() {
        return Json.write(Json.map(
                "version", 3,
                "routes",
                        List.of(Json.map(
                                "name", "r-post", "host", HOST_NAME, "pathPrefix", "/post/", "kind", "unsafe", "timeoutMs",
                                1_500, "goalMs", 386, "priority", 2, "service", SERVICE, "attempts", 1)),
                "services",
                        List.of(Json.map(
                                "name", SERVICE, "healthCheck", "/health", "maxConns", 96, "protocol", "h1", "tls", false)),
                "limits",
                        Json.map("maxHeaderBytes", 16_384, "maxBodyBytes", 1_048_576, "headerTimeoutMs", 5_000,
                                "idleTimeoutMs", 10_000)));
    }

    private void start(int server) throws IOException {
        String id = "i-" + server + "-" + System.currentTimeMillis();
        servers[server] = deployment.java(
                "PlainServer", "server-" + server, id, SERVICE, Integer.toString(ports[server]),
                Integer.toString(deployment.storePort), deployment.recordFile.toString(),
                Long.toString(Deployment.CHECK_IN_MS), Integer.toString(BODY_BYTES), Long.toString(WORK_MS),
                Integer.toString(UNFRAMED_OF));
    }

    private int run() throws Exception {
        deployment.put("op", "config", config());
        for (int i = 0; i < SERVERS; i++) {
            ports[i] = Deployment.freePort();
            start(i);
        }
        Deployment.Gateway gateway = deployment.gateway("front-a-1");
        deployment.start(gateway);
        deployment.awaitReady(gateway);
        Deployment.pause(2_000);
        ExecutorService requesters = Executors.newCachedThreadPool();
        for (int i = 0; i < REQUESTERS; i++) {
            requesters.execute(() -> send(gateway));
        }
        for (int i = 0; i < CRASHES; i++) {
            Deployment.pause(PAUSE_MS);
            if (Deployment.TROUBLE) {
                int server = i % SERVERS;
                deployment.signal(servers[server], "KILL", "server " + server);
                Deployment.pause(DOWN_MS);
                start(server);
            }
        }
        Deployment.pause(PAUSE_MS);
        ended.set(true);
        requesters.shutdown();
        if (!requesters.awaitTermination(5, TimeUnit.SECONDS)) {
            deployment.record.write("some requests are open");
        }
        String result = whole.get() + " whole answers, " + truncated.get() + " that look complete and are not";
        deployment.record.write(result);
        System.out.println(result);
        if (truncated.get() > 0) {
            return 1;
        }
        return whole.get() > 0 ? 0 : 2;
    }

    private void send(Deployment.Gateway gateway) {
        while (!ended.get()) {
            String id = "post-" + ids.incrementAndGet();
            Deployment.Answer answer = Deployment.request(
                    gateway.frontPort, 4_000, "/post/x", "{\"order\":\"" + id + "\"}",
                    Deployment.headers("Host", HOST_NAME, "X-Request-Id", id, "X-Deadline-Ms", "3000"));
            boolean success = answer.status == 200 && answer.complete;
            boolean equal = answer.body.toString().equals(PlainServer.body(id, BODY_BYTES));
            if (success && equal) {
                whole.incrementAndGet();
            } else {
                truncated.addAndGet(success ? 1 : 0);
                deployment.record.write("answer to " + id + ": " + answer + " bytes=" + answer.body.length()
                        + (success ? " broken: not the whole body" : ""));
            }
            Deployment.pause(20);
        }
    }
}
