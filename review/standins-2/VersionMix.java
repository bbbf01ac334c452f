import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Restarts a server in place with a newer version of its software while the store is away; then it crashes. */
public final class VersionMix {
    private static final int EVENTS = 40;
    private static final int GAP_MS = 100;
    private static final int SERVERS = 6;
    private static final int STREAMS = 150;
    /** More streams than this must not hold events of two versions. */
    private static final int MIXED_LIMIT = 2;

    private static final long STORE_AWAY_MS = 8_000;
    private static final long DOWN_MS = 500;
    private static final long BEFORE_CRASH_MS = 800;

    public static void main(String[] args) throws Exception {
        int exit = 2;
        try (Deployment deployment = new Deployment(Path.of(args[0]), true)) {
            exit = run(deployment);
        } catch (IllegalStateException | IOException e) {
            System.out.println("could not run: " + e);
        }
        System.exit(exit);
    }

    private static Process server(Deployment deployment, String id, int port, String version) throws IOException {
        return deployment.java(
                "ModelServer", id, id, Config.SERVICE, Integer.toString(port), Integer.toString(deployment.storePort),
                deployment.recordFile.toString(), Long.toString(Deployment.CHECK_IN_MS), "m1", Integer.toString(EVENTS),
                Integer.toString(GAP_MS), "0", version);
    }

    private static int run(Deployment deployment) throws Exception {
        deployment.put("op", "config", Config.json(List.of("m1"), 4));
        int port = Deployment.freePort();
        Process first = server(deployment, "i-1", port, "v1");
        for (int i = 2; i <= SERVERS; i++) {
            server(deployment, "i-" + i, Deployment.freePort(), "v1");
        }
        Deployment.Gateway gateway = deployment.gateway("front-a-1");
        deployment.start(gateway);
        deployment.awaitReady(gateway);
        Deployment.pause(3_000);
        ExecutorService requesters = Executors.newCachedThreadPool();
        long awayAtMs = System.currentTimeMillis();
        Process upgraded = first;
        if (Deployment.TROUBLE) {
            deployment.signal(deployment.store, "STOP", "the store");
            Deployment.pause(DOWN_MS);
            deployment.signal(first, "KILL", "i-1");
            first.waitFor();
            Deployment.pause(DOWN_MS);
            upgraded = server(deployment, "i-1", port, "v2");
            Deployment.pause(2 * DOWN_MS);
        }
        List<Future<Deployment.Answer>> answers = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            String id = "review-" + i;
            answers.add(requesters.submit(() -> request(gateway, id)));
            Deployment.pause(6);
        }
        if (Deployment.TROUBLE) {
            Deployment.pause(BEFORE_CRASH_MS);
            deployment.signal(upgraded, "KILL", "i-1");
            Deployment.pause(Math.max(0, awayAtMs + STORE_AWAY_MS - System.currentTimeMillis()));
            deployment.signal(deployment.store, "CONT", "the store");
        }
        int mixed = 0;
        int whole = 0;
        for (int i = 0; i < STREAMS; i++) {
            Deployment.Answer answer = answers.get(i).get();
            boolean both = answer.body.indexOf("data: v1 ") >= 0 && answer.body.indexOf("data: v2 ") >= 0;
            mixed += both ? 1 : 0;
            whole += answer.status == 200 && answer.complete ? 1 : 0;
            deployment.record.write("answer to review-" + i + ": " + answer + (both ? " broken: events of two versions" : ""));
        }
        requesters.shutdownNow();
        String result = STREAMS + " streams, " + whole + " complete, " + mixed + " with events of two versions";
        deployment.record.write(result);
        System.out.println(result);
        if (mixed > MIXED_LIMIT) {
            return 1;
        }
        return whole > 0 ? 0 : 2;
    }

    private static Deployment.Answer request(Deployment.Gateway gateway, String id) {
        return Deployment.request(
                gateway.frontPort, 12_000, Config.REVIEW + "x", "{}",
                Deployment.headers(
                        "Host", Config.HOST_NAME, "X-Request-Id", id, "X-Model", "m1", "X-Token-Count", "100,160",
                        "X-Prompt-Prefix", Integer.toHexString(id.hashCode()) + ":100", "X-Deadline-Ms", "11000"));
    }

    private VersionMix() {}
}
