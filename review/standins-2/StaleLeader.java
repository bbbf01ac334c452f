import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** Kills the leader once, then freezes the next one several times, and reads the orders in the server's record. */
public final class StaleLeader {
    private static final long DOWN_MS = 3_000;
    private static final int FREEZES = 6;
    private static final long FREEZE_MS = 6_000;
    private static final long PAUSE_MS = 4_500;
    private static final long THAW_MS = 300;
    private static final long REQUEST_INTERVAL_MS = 60;
    private static final int ADAPTERS = 60;

    public static void main(String[] args) throws Exception {
        int exit = 2;
        try (Deployment deployment = new Deployment(Path.of(args[0]), false)) {
            exit = run(deployment);
        } catch (IllegalStateException | IOException e) {
            System.out.println("could not run: " + e);
        }
        System.exit(exit);
    }

    private static int run(Deployment deployment) throws Exception {
        deployment.put("op", "config", Config.json(List.of("m1"), ADAPTERS));
        deployment.java(
                "ModelServer", "server", "i-1", Config.SERVICE, Integer.toString(Deployment.freePort()),
                Integer.toString(deployment.storePort), deployment.recordFile.toString(),
                Long.toString(Deployment.CHECK_IN_MS), "m1", "3", "20", "0", "v1");
        Map<String, Deployment.Gateway> gateways = new HashMap<>();
        for (String node : List.of("front-a-1", "front-a-2")) {
            gateways.put(node, deployment.gateway(node));
            deployment.start(gateways.get(node));
        }
        gateways.values().forEach(deployment::awaitReady);
        ExecutorService requesters = Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(work);
            thread.setDaemon(true);
            return thread;
        });
        AtomicInteger served = new AtomicInteger();
        gateways.values().forEach(gateway -> requesters.execute(() -> send(gateway, requesters, served)));
        Deployment.pause(5_000);
        Map<Long, String> thaws = new HashMap<>();
        if (Deployment.TROUBLE) {
            trouble(deployment, gateways, thaws);
        } else {
            Deployment.pause(20_000);
        }
        deployment.record.write("requests served: " + served.get());
        return judge(deployment, thaws, served.get());
    }

    private static void send(Deployment.Gateway gateway, ExecutorService requesters, AtomicInteger served) {
        Random random = new Random(gateway.node.hashCode());
        for (int i = 0; ; i++) {
            String id = gateway.node + "-" + i;
            String model = "m1/a" + (1 + random.nextInt(ADAPTERS));
            requesters.execute(() -> {
                Deployment.Answer answer = Deployment.request(
                        gateway.frontPort, 6_000, Config.CHAT + "x", "{}",
                        Deployment.headers(
                                "Host", Config.HOST_NAME, "X-Request-Id", id, "X-Model", model, "X-Token-Count", "100,12",
                                "X-Prompt-Prefix", "a1:40," + Integer.toHexString(id.hashCode()) + ":60",
                                "X-Deadline-Ms", "5000"));
                if (answer.complete && answer.status == 200) {
                    served.incrementAndGet();
                }
            });
            Deployment.pause(REQUEST_INTERVAL_MS);
        }
    }

    private static void trouble(
            Deployment deployment, Map<String, Deployment.Gateway> gateways, Map<Long, String> thaws) throws Exception {
        Deployment.Gateway first = gateways.get(lastHolder(deployment));
        deployment.signal(first.process, "KILL", first.node);
        first.process.waitFor();
        Deployment.pause(DOWN_MS);
        deployment.start(first);
        deployment.awaitReady(first);
        Deployment.pause(PAUSE_MS);
        for (int i = 0; i < FREEZES; i++) {
            Deployment.Gateway leader = gateways.get(lastHolder(deployment));
            deployment.signal(leader.process, "STOP", leader.node);
            Deployment.pause(FREEZE_MS);
            thaws.put(System.currentTimeMillis(), leader.node);
            deployment.signal(leader.process, "CONT", leader.node);
            Deployment.pause(PAUSE_MS);
        }
    }

    private record Order(long atMs, String holder, long fence, int status) {}

    private static List<Order> orders(Deployment deployment) throws IOException {
        return Files.readAllLines(deployment.recordFile).stream()
                .filter(line -> line.contains(" order holder="))
                .map(StaleLeader::order)
                .toList();
    }

    private static Order order(String line) {
        return new Order(
                Long.parseLong(line.substring(0, line.indexOf(' '))),
                field(line, "holder="),
                Long.parseLong(field(line, "fence=")),
                Integer.parseInt(field(line, "status=")));
    }

    private static String field(String line, String name) {
        return line.substring(line.indexOf(name) + name.length()).split(" ")[0];
    }

    private static String lastHolder(Deployment deployment) throws IOException {
        List<Order> orders = orders(deployment);
        if (orders.isEmpty()) {
            throw new IllegalStateException("no orders");
        }
        return orders.get(orders.size() - 1).holder();
    }

    /** Counts the orders that arrive with a lower epoch number after a higher one, later than the thaw of their sender. */
    private static int judge(Deployment deployment, Map<Long, String> thaws, int served) throws IOException {
        List<Order> orders = orders(deployment);
        long highest = 0;
        int stale = 0;
        int accepted = 0;
        for (Order order : orders) {
            boolean thawed = thaws.entrySet().stream()
                    .anyMatch(thaw -> thaw.getValue().equals(order.holder())
                            && order.atMs() >= thaw.getKey()
                            && order.atMs() - thaw.getKey() <= THAW_MS);
            if (order.fence() < highest && !thawed) {
                stale++;
                accepted += order.status() < 300 ? 1 : 0;
                deployment.record.write("broken: an order of " + order.holder() + " with epoch number " + order.fence()
                        + " arrived at " + order.atMs() + " after one with " + highest + ", status " + order.status());
            }
            highest = Math.max(highest, order.fence());
        }
        String result = orders.size() + " orders, " + stale + " with a lower epoch number after a higher one, " + accepted
                + " of them carried out";
        deployment.record.write(result);
        System.out.println(result + "; requests served: " + served);
        if (served == 0 || orders.isEmpty()) {
            return 2;
        }
        return stale > 0 ? 1 : 0;
    }

    private StaleLeader() {}
}
