import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Control members and gateways as separate processes on loopback addresses, started with the
 * commands of deploy/system.toml. The current folder is the repository's.
 *
 * <p>All files are in a temporary folder, which {@link #close} deletes after it has killed the
 * processes. Used by one thread, apart from {@link #log}.
 */
final class Fleet implements AutoCloseable {
    /** Bounds of the sheet that the cases name (qasim-jw). */
    static final int CONTACT_MS = 3_000;

    static final int ACK_MS = 4_000;
    static final int SYNC_S = 4;
    static final int RECOVERY_S = 12;

    final Path folder;
    final int httpPort;
    final int readyPort;
    private final String subnet;
    private final int peerPort;
    private final int metricsPort;
    private final List<String> seeds;
    private final String deploy;
    private final Record record;
    private final Map<Integer, Process> processes = new LinkedHashMap<>();

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();

    /** Creates a fleet without processes, whose seeds are the machines 1 to 3. */
    Fleet(Record record) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("review-3-");
        subnet = "127." + (20 + (int) (ProcessHandle.current().pid() % 200)) + ".3.";
        int[] ports = freePorts();
        httpPort = ports[0];
        readyPort = ports[1];
        peerPort = ports[2];
        metricsPort = ports[3];
        seeds = List.of(ip(1) + ":" + httpPort, ip(2) + ":" + httpPort, ip(3) + ":" + httpPort);
        deploy = Files.readString(Path.of("deploy/system.toml"));
    }

    /** Returns the address of a machine, from 1 on. */
    String ip(int machine) {
        return subnet + machine;
    }

    private int[] freePorts() throws IOException {
        int[] ports = new int[4];
        List<ServerSocket> held = new ArrayList<>();
        for (int i = 0; i < ports.length; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip(1)));
            held.add(socket);
            ports[i] = socket.getLocalPort();
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        return ports;
    }

    Path dataFolder(int machine) {
        return folder.resolve("data" + machine);
    }

    /** Starts the process of a machine. */
    void start(int machine, String role, boolean bootstrap) throws IOException {
        boolean gateway = role.equals("gateway");
        String ip = ip(machine);
        String listen =
                gateway
                        ? "\"http\":\"" + ip + ":" + httpPort + "\",\"ready\":\"" + ip + ":"
                                + readyPort + "\","
                        : "\"http\":\"" + ip + ":" + httpPort + "\",";
        String settings =
                String.format(
                        Locale.ROOT,
                        "{\"vmId\":\"%s\",\"failureDomain\":\"%s\",\"region\":\"pk-central\","
                                + "\"peerPort\":%d,\"seeds\":[\"%s\"],\"mayFound\":%b,%s"
                                + "\"regions\":{\"lhr-a\":\"pk-central\","
                                + "\"lhr-b\":\"pk-central\",\"fsd-a\":\"pk-central\"},"
                                + "\"maxDescriptors\":4096,\"listen\":{%s\"metrics\":\"%s:%d\"},"
                                + "\"bounds\":{\"announceMillis\":1200,\"stopGraceSeconds\":8,"
                                + "\"retryRatio\":0.2,\"retryWindowSeconds\":10,"
                                + "\"retrySlack\":54}}",
                        ip,
                        zone(machine),
                        peerPort,
                        String.join("\",\"", seeds),
                        bootstrap,
                        gateway ? "" : "\"dataFolder\":\"" + dataFolder(machine) + "\",",
                        listen,
                        ip,
                        metricsPort);
        Path file = folder.resolve("node" + machine + ".json");
        Files.writeString(file, settings);
        List<String> command = new ArrayList<>();
        for (String word : command(role).split(" ")) {
            command.add(word.equals("/etc/jacinthwharf/node.toml") ? file.toString() : word);
        }
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(
                                ProcessBuilder.Redirect.appendTo(
                                        folder.resolve("log" + machine).toFile()))
                        .start();
        processes.put(machine, process);
        record.add(
                "started %s on machine %d (%s, zone %s, bootstrap=%b, pid %d)",
                role, machine, ip, zone(machine), bootstrap, process.pid());
    }

    static String zone(int machine) {
        return List.of("lhr-a", "lhr-b", "fsd-a").get((machine - 1) % 3);
    }

    /** Returns the command of a role in the deploy file. */
    private String command(String role) {
        Matcher m =
                Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"").matcher(deploy);
        if (!m.find()) {
            throw new IllegalStateException("no command of role " + role);
        }
        return m.group(1);
    }

    /** Kills the process of a machine. */
    void kill(int machine) throws InterruptedException {
        Process process = processes.get(machine);
        process.destroyForcibly();
        process.waitFor();
        record.add("killed the process on machine %d", machine);
    }

    /**
     * Stops the process of a machine for good: its address takes connections and answers nothing,
     * like a machine without power behind a host that does not refuse them.
     */
    void freeze(int machine) throws Exception {
        signal(machine, "STOP");
        record.add("stopped the process on machine %d (SIGSTOP)", machine);
    }

    void signal(int machine, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(processes.get(machine).pid()))
                .start()
                .waitFor();
    }

    /** Deletes the data folder of a machine whose process has ended. */
    void wipe(int machine) throws IOException {
        delete(dataFolder(machine));
        record.add("emptied the data folder of machine %d", machine);
    }

    boolean isAlive(int machine) {
        return processes.get(machine).isAlive();
    }

    String log(int machine) {
        try {
            return Files.readString(folder.resolve("log" + machine));
        } catch (IOException notBegun) {
            return "";
        }
    }

    /** Returns the last line of a log with the given text, empty if there is none. */
    String lastLine(int machine, String text) {
        String last = "";
        for (String line : log(machine).split("\n")) {
            if (line.contains(text)) {
                last = line;
            }
        }
        return last;
    }

    /** Returns the machine among those given that leads the control group, 0 if none says so. */
    int leader(List<Integer> machines) {
        for (int m : machines) {
            if (lastLine(m, "event=raft_state_changed").contains("role=LEADER")) {
                return m;
            }
        }
        return 0;
    }

    /** An answer to a call; status 0 if there was none. */
    record Answer(int status, String body) {}

    /**
     * Sends an order as the operator does: a second for an answer, two redirects, any other member
     * after a failure, until the time is over.
     *
     * @return the first clear answer, or the last one
     */
    Answer order(String method, String path, String body, List<Integer> members, Duration time)
            throws InterruptedException {
        long end = System.nanoTime() + time.toNanos();
        Answer last = new Answer(0, "");
        long pause = 50;
        for (int i = 0; System.nanoTime() < end; i++) {
            last = call(method, ip(members.get(i % members.size())) + ":" + httpPort, path, body);
            boolean clear =
                    last.status() != 0
                            && last.status() < 500
                            && last.status() != 408
                            && last.status() != 429;
            if (clear) {
                return last;
            }
            Thread.sleep(pause);
            pause = Math.min(500, pause * 2);
        }
        return last;
    }

    /** Sends one call and follows two redirects. */
    Answer call(String method, String address, String path, String body)
            throws InterruptedException {
        URI uri = URI.create("http://" + address + path);
        for (int redirects = 0; ; redirects++) {
            HttpRequest request =
                    HttpRequest.newBuilder(uri)
                            .timeout(Duration.ofSeconds(1))
                            .header("Content-Type", "application/json")
                            .method(
                                    method,
                                    body.isEmpty()
                                            ? HttpRequest.BodyPublishers.noBody()
                                            : HttpRequest.BodyPublishers.ofString(body))
                            .build();
            try {
                HttpResponse<String> r =
                        client.send(request, HttpResponse.BodyHandlers.ofString());
                if (r.statusCode() != 307 || redirects == 2) {
                    return new Answer(r.statusCode(), r.body());
                }
                uri = URI.create(r.headers().firstValue("Location").orElseThrow());
            } catch (IOException e) {
                return new Answer(0, e.toString());
            }
        }
    }

    /** Ends all processes and deletes the temporary folder. */
    @Override
    public void close() throws Exception {
        for (Process p : processes.values()) {
            p.destroyForcibly();
        }
        for (Process p : processes.values()) {
            p.waitFor(10, TimeUnit.SECONDS);
        }
        String keep = System.getenv("KEEP_LOGS");
        if (keep == null || keep.isEmpty()) {
            delete(folder);
        } else {
            System.out.println("logs are kept in " + folder);
        }
    }

    private static void delete(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }

    /** What was sent, answered and run, with the time since the start. Thread-safe. */
    static final class Record {
        private final Path file;
        private final long start = System.nanoTime();

        Record(Path file) throws IOException {
            this.file = file;
            Files.writeString(file, "");
        }

        void add(String format, Object... arguments) {
            System.out.print(file(format, arguments));
        }

        /** Adds a line to the file only, and returns it. */
        synchronized String file(String format, Object... arguments) {
            String line =
                    String.format(
                            Locale.ROOT,
                            "%8.3f  %s%n",
                            (System.nanoTime() - start) / 1e9,
                            String.format(Locale.ROOT, format, arguments));
            try {
                Files.writeString(file, line, StandardOpenOption.APPEND);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            return line;
        }

        /** Returns the seconds since the start. */
        double seconds() {
            return (System.nanoTime() - start) / 1e9;
        }
    }
}
