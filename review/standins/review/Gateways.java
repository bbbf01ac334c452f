package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Starts the project's own program with the command of the deploy file, and ends what it started. */
final class Gateways {
    /** One running entry. */
    static final class Gateway {
        final String node;
        final int front;
        final int ready;
        final Path log;
        Process process;

        private Gateway(String node, int front, int ready, Path log) {
            this.node = node;
            this.front = front;
            this.ready = ready;
            this.log = log;
        }
    }

    private final Path root;
    private final Path folder;
    private final List<Gateway> all = new ArrayList<>();
    private final List<Process> started = new ArrayList<>();

    Gateways(Path root) throws IOException {
        this.root = root;
        this.folder = Files.createTempDirectory("case");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    private static String runCommand(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("the deploy file has no command");
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Starts an entry; its settings are those of a small deployment. */
    Gateway start(String node, String zone, String store) throws IOException {
        int front = freePort();
        int ready = freePort();
        int peer = freePort();
        Path settings = folder.resolve(node + ".json");
        Files.writeString(
                settings,
                """
                {"node":"%s","role":"entry","machineClass":"front","serves":["front"],"ip":"127.0.0.1","zone":"%s",
                "region":"r","zones":{"z-a":"r","z-b":"r"},
                "listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d"},"portRange":[%d,%d],"seeds":[],
                "bootstrap":true,"heartbeatMs":1200,
                "limits":{"cpuShare":0.57,"cores":1,"memoryMb":430,"maxFds":4100,"linkMbps":1000.0,"diskMb":0},
                "bounds":{"seedLagS":3,"reuseAfterS":2,"stableMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,
                "graceS":8,"lossSlackMs":200,"configMs":2000,"downgradeSlackMs":250,"maxSkewMs":5000,
                "budgetRatio":0.2,"budgetWindowS":10,"budgetSlack":52,"recoverS":12,"passMs":120,"againS":0,
                "requireFencing":true,"leaseMs":3000,"thawMs":300,"ceilingWindowS":5,"ceilingOver":1.1},
                "platform":{"address":"%s","form":"table","writesPerS":400,"readsPerS":2000,"txMs":6.0,
                "partitionWritesS":200,"rowBytes":65536,"across":false,"historyS":20}}
                """.formatted(node, zone, front, ready, peer, peer, store));
        Gateway gateway = new Gateway(node, front, ready, folder.resolve(node + ".log"));
        all.add(gateway);
        launch(gateway, settings);
        return gateway;
    }

    private void launch(Gateway gateway, Path settings) throws IOException {
        List<String> command = new ArrayList<>(List.of(runCommand(root).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("HAWTHORNGLADE_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(gateway.log.toFile());
        gateway.process = builder.start();
        started.add(gateway.process);
    }

    /** Starts a stand-in as a process of its own. */
    Process standin(String mainClass, List<String> arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                ProcessHandle.current().info().command().orElse("java"),
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
        command.addAll(arguments);
        Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        started.add(process);
        return process;
    }

    /** Waits until an entry says that it is ready. */
    void awaitReady(Gateway gateway, long timeoutMs) throws Exception {
        long untilMs = Record.nowMs() + timeoutMs;
        while (Record.nowMs() < untilMs) {
            if (ready(gateway)) {
                return;
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException(gateway.node + " is not ready; see " + Files.readString(gateway.log));
    }

    boolean ready(Gateway gateway) {
        try (Socket socket = new Socket("127.0.0.1", gateway.ready)) {
            socket.setSoTimeout(500);
            Http.write(socket.getOutputStream(), "GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            return Http.readHead(socket.getInputStream()).status() == 200;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    void endAll() {
        for (Process process : started) {
            process.destroyForcibly();
        }
        for (Process process : started) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.deleteIfExists(file);
            }
            Files.deleteIfExists(folder);
        } catch (IOException e) {
            // The folder is temporary.
        }
    }
}
