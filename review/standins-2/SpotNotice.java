import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Takes a server away at short notice while it answers with streams, some of which have neither a length nor chunks. */
public final class SpotNotice {
    private static final int EVENTS = 40;
    private static final int GAP_MS = 100;
    private static final long NOTICE_MS = 2_000;
    private static final int SERVERS = 7;
    private static final int STREAMS = 320;
    /** One stream of so many has neither a length nor chunks. */
    private static final int UNFRAMED_OF = 20;

    public static void main(String[] args) throws Exception {
        int exit = 2;
        try (Deployment deployment = new Deployment(Path.of(args[0]), true)) {
            exit = run(deployment);
        } catch (IllegalStateException | IOException e) {
            System.out.println("could not run: " + e);
        }
        System.exit(exit);
    }

    private static Process server(Deployment deployment, String id) throws IOException {
        return deployment.java(
                "ModelServer", id, id, Config.SERVICE, Integer.toString(Deployment.freePort()),
                Integer.toString(deployment.storePort), deployment.recordFile.toString(),
                Long.toString(Deployment.CHECK_IN_MS), "m1", Integer.toString(EVENTS), Integer.toString(GAP_MS),
                Integer.toString(UNFRAMED_OF), "v1");
    }

    private static int run(Deployment deployment) throws Exception {
        deployment.put("op", "config", Config.json(List.of("m1"), 4));
        Process leaving = server(deployment, "i-1");
        for (int i = 2; i <= SERVERS; i++) {
            server(deployment, "i-" + i);
        }
        Deployment.Gateway gateway = deployment.gateway("front-a-1");
        deployment.start(gateway);
        deployment.awaitReady(gateway);
        Deployment.pause(3_000);
        ExecutorService requesters = Executors.newCachedThreadPool();
        List<Future<Deployment.Answer>> answers = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            String path = i % 2 == 0 ? Config.REVIEW : Config.CHAT;
            String id = path.replace("/", "") + "-" + i;
            ids.add(id);
            answers.add(requesters.submit(() -> request(gateway, path, id)));
            Deployment.pause(3);
        }
        Deployment.pause(500);
        if (Deployment.TROUBLE) {
            OutputStream input = leaving.getOutputStream();
            input.write(("leave " + NOTICE_MS + "\n").getBytes(StandardCharsets.US_ASCII));
            input.flush();
            Deployment.pause(NOTICE_MS);
            deployment.signal(leaving, "KILL", "i-1, whose time has run out");
        }
        int truncated = 0;
        int whole = 0;
        for (int i = 0; i < STREAMS; i++) {
            Deployment.Answer answer = answers.get(i).get();
            boolean success = answer.status == 200 && answer.complete;
            boolean broken = success && answer.lastEvent < EVENTS;
            truncated += broken ? 1 : 0;
            whole += success && !broken ? 1 : 0;
            deployment.record.write("answer to " + ids.get(i) + ": " + answer
                    + (broken ? " broken: complete before event " + EVENTS : ""));
        }
        requesters.shutdownNow();
        String result = STREAMS + " streams, " + whole + " whole, " + truncated + " that look complete and are not";
        deployment.record.write(result);
        System.out.println(result);
        if (truncated > 0) {
            return 1;
        }
        return whole > 0 ? 0 : 2;
    }

    private static Deployment.Answer request(Deployment.Gateway gateway, String path, String id) {
        return Deployment.request(
                gateway.frontPort, 12_000, path + "x", "{}",
                Deployment.headers(
                        "Host", Config.HOST_NAME, "X-Request-Id", id, "X-Model", "m1", "X-Token-Count", "100,160",
                        "X-Prompt-Prefix", Integer.toHexString(id.hashCode()) + ":100", "X-Deadline-Ms", "11000"));
    }

    private SpotNotice() {}
}
