package org.jacinthwharf.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.Callable;
import org.jacinthwharf.process.settings.Endpoint;
import org.jacinthwharf.standin.StandInOptions;
import org.jacinthwharf.standin.StandInServer;

/**
 * Control members and routers as real processes on loopback, with a relay on every link between two
 * of them, and stand-in backend servers inside the test.
 *
 * <p>Used by the test's thread, except for the addresses. Processes are named c1, c2, ... and r1,
 * r2, ...; {@link #close} ends all of them.
 */
final class ProcessFleet implements AutoCloseable {
    /** Longest wait for what is no guarantee; other work may use the machine's cores. */
    static final Duration LONG = Duration.ofSeconds(40);

    private static final Duration POLL = Duration.ofMillis(50);
    private static final String TOKEN = "token-of-this-test";
    private final Path mFolder;
    private final Map<String, String> mDomains = new TreeMap<>();
    private final Map<String, Child> mChildren = new TreeMap<>();
    private final Map<String, Map<String, String>> mListen = new TreeMap<>();
    private final Map<String, Relay> mRelays = new TreeMap<>();
    private final Map<String, String> mStandIns = new TreeMap<>();
    private final List<StandInServer> mServers = new ArrayList<>();

    /**
     * Starts a fleet and waits until it takes changes and all routers are ready.
     *
     * @param control failure domain of each control member
     * @param routers failure domain of each router
     */
    ProcessFleet(Path folder, List<String> control, List<String> routers) throws Exception {
        mFolder = folder;
        for (int i = 0; i < control.size(); i++) {
            mDomains.put("c" + (i + 1), control.get(i));
        }
        for (int i = 0; i < routers.size(); i++) {
            mDomains.put("r" + (i + 1), routers.get(i));
        }
        Files.writeString(folder.resolve("token"), TOKEN);
        for (String name : mDomains.keySet()) {
            mListen.put(
                    name,
                    Map.of(
                            "http", "127.0.0.1:" + Ports.free(),
                            "peer", "127.0.0.1:" + Ports.free(),
                            "admin", "127.0.0.1:" + Ports.free()));
        }
        for (String name : mDomains.keySet()) {
            boolean isControl = name.startsWith("c");
            Path file = folder.resolve(name + ".json");
            Files.writeString(file, settings(name, isControl).toString());
            String role = isControl ? "control" : "router";
            Path log = folder.resolve(name + ".log");
            mChildren.put(name, new Child(log, role, "--settings", file.toString()));
            mChildren.get(name).start();
        }
        try {
            configure();
        } catch (Exception | AssertionError e) {
            StringBuilder logs = new StringBuilder();
            for (Map.Entry<String, Child> c : mChildren.entrySet()) {
                logs.append(c.getKey()).append(":\n").append(c.getValue().logTail(6)).append('\n');
            }
            close();
            throw new IllegalStateException("the fleet did not start\n" + logs, e);
        }
    }

    private void configure() throws IOException {
        for (String domain : Set.copyOf(mDomains.values())) {
            changed("/v1/failure-domains/" + domain, "{\"region\":\"west\",\"out\":false}");
        }
        changed("/v1/models/granite", "{\"currentVersion\":\"v1\"}");
        changed("/v1/models/booking", "{\"currentVersion\":\"v1\"}");
        changed("/v1/customers/altiplano", "{\"weight\":1,\"homeRegion\":\"west\"}");
        changed("/v1/customers/counter", "{\"weight\":1,\"homeRegion\":\"west\"}");
        awaitRevision();
    }

    private ObjectNode settings(String name, boolean isControl) throws IOException {
        ObjectNode s = Call.JSON.createObjectNode();
        s.put("role", isControl ? "control" : "router")
                .put("vmId", name)
                .put("failureDomain", mDomains.get(name))
                .put("region", "west");
        s.set("listen", Call.JSON.valueToTree(mListen.get(name)));
        ArrayNode members = s.putArray("controlMembers");
        ArrayNode routers = s.putArray("routers");
        for (String other : mDomains.keySet()) {
            ObjectNode peer = (other.startsWith("c") ? members : routers).addObject();
            peer.put("vmId", other)
                    .put("failureDomain", mDomains.get(other))
                    .put("region", "west")
                    .put("peer", peerAddress(name, other));
            if (other.startsWith("c")) {
                peer.put("http", mListen.get(other).get("http"));
            }
        }
        if (isControl) {
            s.put("dataFolder", dataFolder(name).toString())
                    .put("operatorTokenFile", mFolder.resolve("token").toString());
        } else {
            s.putObject("limits").put("drainDelayMs", 2_000).put("bodyTimeoutMs", 1_000);
        }
        return s;
    }

    private String peerAddress(String from, String to) throws IOException {
        Endpoint target = Endpoint.parse(mListen.get(to).get("peer"));
        if (from.equals(to) || (from.startsWith("c") && to.startsWith("r"))) {
            return target.toString();
        }
        int port = Ports.free();
        mRelays.put(
                from + ">" + to,
                new Relay(port, new InetSocketAddress(target.ip(), target.port())));
        return "127.0.0.1:" + port;
    }

    Path dataFolder(String member) {
        return mFolder.resolve("data-" + member);
    }

    // --- Processes and links --------------------------------------------------------------------

    Child child(String name) {
        return mChildren.get(name);
    }

    /** Returns the address for callers of a router or operators of a control member. */
    String http(String name) {
        return mListen.get(name).get("http");
    }

    /** Returns the relay on the connections that one process opens to another. */
    Relay relay(String from, String to) {
        return mRelays.get(from + ">" + to);
    }

    /** Returns the relay on the connections of all routers to a backend server. */
    Relay relayTo(String server) {
        return mRelays.get(">" + server);
    }

    /** Cuts all links between the processes of a failure domain and all others. */
    void cutOff(String domain) {
        for (String from : mDomains.keySet()) {
            for (String to : mDomains.keySet()) {
                boolean inside = mDomains.get(from).equals(domain);
                Relay relay = relay(from, to);
                if (relay != null && inside != mDomains.get(to).equals(domain)) {
                    relay.cut();
                }
            }
        }
    }

    /** Lets everything pass again. */
    void rejoin() {
        mRelays.values().forEach(Relay::pass);
    }

    // --- Backend servers ------------------------------------------------------------------------

    /** Starts a backend server that announces itself to the routers of its failure domain. */
    void addServer(
            String id, String domain, String model, int cold, int warm, long warmUp, long token)
            throws Exception {
        addServer(id, domain, model, "v1", cold, warm, warmUp, token, 0);
    }

    /** Starts a backend server of a version that answers some requests with errors. */
    void addServer(
            String id,
            String domain,
            String model,
            String version,
            int cold,
            int warm,
            long warmUp,
            long token,
            int errorPercent)
            throws Exception {
        Endpoint listen = Endpoint.parse("127.0.0.1:" + Ports.free());
        List<Endpoint> routers =
                mDomains.keySet().stream()
                        .filter(r -> r.startsWith("r") && mDomains.get(r).equals(domain))
                        .map(r -> Endpoint.parse(http(r)))
                        .toList();
        // Routers reach the server through a relay, so that a test can stall connections to it.
        Endpoint announced = Endpoint.parse("127.0.0.1:" + Ports.free());
        mRelays.put(
                ">" + id,
                new Relay(announced.port(), new InetSocketAddress(listen.ip(), listen.port())));
        StandInOptions options =
                new StandInOptions(
                        id,
                        domain,
                        listen,
                        model,
                        version,
                        cold,
                        warm,
                        warmUp,
                        token,
                        errorPercent,
                        routers);
        StandInServer server = new StandInServer(options, announced);
        server.start();
        mServers.add(server);
        mStandIns.put(id, listen.toString());
        await("a router owns " + id, () -> owner(id) != null);
    }

    /** Returns what the backend server counted. */
    JsonNode stats(String server) {
        return json(mStandIns.get(server), "/stats");
    }

    /** Makes a backend server announce the given state from now on. */
    void setState(String server, String state) {
        Call.send("POST", mStandIns.get(server), "/state?set=" + state, "").join();
    }

    /** Returns how often the call with the key ran at the backend server. */
    int executions(String server, String key) {
        return stats(server).path("executions").path(key).asInt();
    }

    /** Returns how many requests the backend server was sent. */
    long requests(String server) {
        return stats(server).path("requests").asLong();
    }

    /** Returns the router that lists the backend server as its own, or null. */
    String owner(String server) {
        for (String name : mDomains.keySet()) {
            if (name.startsWith("r") && mChildren.get(name).isAlive()) {
                for (JsonNode s : status(name).path("backendServers")) {
                    if (s.path("id").asText().equals(server)) {
                        return name;
                    }
                }
            }
        }
        return null;
    }

    // --- Reading --------------------------------------------------------------------------------

    private static JsonNode json(String address, String path) {
        try {
            return Call.JSON.readTree(Call.get(address, path).body());
        } catch (IOException e) {
            return Call.JSON.createObjectNode();
        }
    }

    /** Returns the status of a router; empty if it does not answer. */
    JsonNode status(String router) {
        return json(mListen.get(router).get("admin"), "/status");
    }

    boolean isReady(String name) {
        return Call.get(mListen.get(name).get("admin"), "/ready").status() == 200;
    }

    /** Returns the sum of a router's counters that have the label, such as a refusal reason. */
    long counted(String router, String label) {
        String metrics = Call.get(mListen.get(router).get("admin"), "/metrics").body();
        return metrics.lines()
                .filter(l -> l.contains("\"" + label + "\""))
                .mapToLong(l -> (long) Double.parseDouble(l.substring(l.lastIndexOf(' ') + 1)))
                .sum();
    }

    /** Returns the status as the control member sees it; empty if it does not answer. */
    JsonNode controlStatus(String member) {
        return json(http(member), "/v1/status");
    }

    /** Returns the leader that a majority confirmed, or null. */
    String leader() {
        for (String name : mDomains.keySet()) {
            if (name.startsWith("c") && mChildren.get(name).isAlive()) {
                JsonNode status = controlStatus(name);
                if (status.path("control").path("role").asText().equals("leader")
                        && status.path("confirmed").asBoolean()) {
                    return name;
                }
            }
        }
        return null;
    }

    // --- Operators ------------------------------------------------------------------------------

    /** Sends a change to one member. */
    Call.Answer change(String member, String path, String body, String command, long basedOn) {
        return Call.send(
                        "POST",
                        http(member),
                        path,
                        body,
                        "Authorization",
                        "Bearer " + TOKEN,
                        "X-Command-Id",
                        command,
                        "If-Match",
                        Long.toString(basedOn))
                .join();
    }

    /** Sends a change to the members in turn until one accepts it; returns its revision. */
    long changed(String path, String body) throws IOException {
        return changed(path, body, mDomains.keySet().toArray(String[]::new));
    }

    /** Sends a change to the given members in turn until one accepts it; returns its revision. */
    long changed(String path, String body, String... members) throws IOException {
        String command = UUID.randomUUID().toString();
        Call.Answer[] answer = new Call.Answer[1];
        await(
                "a change is accepted",
                () -> {
                    for (String name : members) {
                        if (name.startsWith("c") && mChildren.get(name).isAlive()) {
                            answer[0] = change(name, path, body, command, 0);
                            if (answer[0].status() == 200) {
                                return true;
                            }
                        }
                    }
                    return false;
                });
        return answer[0].json().path("revision").asLong();
    }

    /** Waits until all routers that run have the current revision and are ready. */
    void awaitRevision() {
        await(
                "all routers have the current revision",
                () -> {
                    long revision = controlStatus(leader()).path("revision").asLong();
                    return mChildren.keySet().stream()
                            .filter(r -> r.startsWith("r") && mChildren.get(r).isAlive())
                            .allMatch(
                                    r ->
                                            status(r).path("revision").asLong() >= revision
                                                    && status(r).path("validView").asBoolean());
                });
    }

    /** Waits for a condition that is no guarantee. */
    static void await(String what, Callable<Boolean> condition) {
        awaitWithin(LONG, what, condition);
    }

    /** Waits for a condition at most the given time. */
    static void awaitWithin(Duration limit, String what, Callable<Boolean> condition) {
        org.awaitility.Awaitility.await(what)
                .atMost(limit)
                .pollInterval(POLL)
                .pollDelay(Duration.ZERO)
                .ignoreExceptions()
                .until(condition);
    }

    @Override
    public void close() throws Exception {
        for (Child c : mChildren.values()) {
            c.close();
        }
        for (StandInServer s : mServers) {
            s.close();
        }
        for (Relay r : mRelays.values()) {
            r.close();
        }
    }
}
