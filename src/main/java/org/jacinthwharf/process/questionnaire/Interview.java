package org.jacinthwharf.process.questionnaire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.net.InetAddresses;
import com.google.common.primitives.Doubles;
import com.google.common.primitives.Ints;
import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.jacinthwharf.process.questionnaire.Prompter.Question;

/**
 * Asks the questions of the questionnaire interactively.
 *
 * <p>Not thread-safe. The result has the form of an answers file; {@link AnswersReader} still has
 * to validate it.
 */
public final class Interview {
    private static final String NAME_RULE =
            "1 to 64 letters, digits and . _ -, the first a letter or digit";
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Splitter WORDS = Splitter.onPattern("\\s+").omitEmptyStrings();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private final Prompter mPrompter;
    private final Set<String> mVmIds = new HashSet<>();
    private final Set<String> mIps = new HashSet<>();
    private boolean mHasDisk;

    /** Creates an interview that reads lines from {@code in} and prints to {@code out}. */
    public Interview(BufferedReader in, PrintWriter out) {
        mPrompter = new Prompter(in, out);
    }

    /**
     * Asks all questions.
     *
     * @return the answers in the form of an answers file
     * @throws EOFException if the input ends before the last answer
     */
    public ObjectNode ask() throws IOException {
        mPrompter.println("An empty line takes the default in brackets.");
        ObjectNode answers = NODES.objectNode();
        answers.put("deployment", askName("Name of the deployment"));
        answers.put("region", askName("Region"));
        List<String> domains = askFailureDomainNames();
        do {
            answers.set("failureDomains", askFailureDomains(domains));
        } while (!mHasDisk && restartVmQuestions());
        answers.set("ports", askPorts());
        Set<String> names = new HashSet<>();
        do {
            answers.set("models", askVersions("Model and its first version", names));
            answers.set("services", askVersions("Plain service and its first version", names));
        } while (names.isEmpty()
                && printAndRepeat("At least one model or plain service is needed."));
        answers.set("customers", askCustomers());
        return answers;
    }

    private boolean restartVmQuestions() {
        mVmIds.clear();
        mIps.clear();
        return printAndRepeat(
                "At least one VM must have a disk, for the control member. VMs again:");
    }

    private boolean printAndRepeat(String reason) {
        mPrompter.println(reason);
        return true;
    }

    private List<String> askFailureDomainNames() throws IOException {
        return mPrompter.ask(
                new Question<>(
                        "Failure domains",
                        "one or more different names, separated by spaces; each name " + NAME_RULE,
                        "",
                        given -> {
                            List<String> names = WORDS.splitToList(given);
                            boolean ok =
                                    !names.isEmpty()
                                            && names.stream().allMatch(Interview::isName)
                                            && Set.copyOf(names).size() == names.size();
                            return ok ? Optional.of(names) : Optional.empty();
                        }));
    }

    private ArrayNode askFailureDomains(List<String> domains) throws IOException {
        ArrayNode all = NODES.arrayNode();
        for (String domain : domains) {
            ObjectNode node = all.addObject().put("id", domain);
            ArrayNode vms = node.putArray("vms");
            int count = askInt("Number of entry VMs in " + domain, 1, 100, 2);
            for (int i = 1; i <= count; i++) {
                vms.add(askVm(domain, i));
            }
        }
        return all;
    }

    private ObjectNode askVm(String domain, int index) throws IOException {
        String proposal = domain + "-" + index;
        String id =
                mPrompter.ask(
                        new Question<>(
                                "  Id of VM " + index + " in " + domain,
                                NAME_RULE + ", not used before",
                                mVmIds.contains(proposal) ? "" : proposal,
                                s ->
                                        isName(s) && mVmIds.add(s)
                                                ? Optional.of(s)
                                                : Optional.empty()));
        String ip =
                mPrompter.ask(
                        new Question<>(
                                "  IP address of " + id,
                                "an IP address not used before, such as 10.0.0.1; no host name",
                                "",
                                s ->
                                        InetAddresses.isInetAddress(s) && mIps.add(s)
                                                ? Optional.of(s)
                                                : Optional.empty()));
        boolean disk =
                askYesNo(
                        "  Does " + id + " have a disk that outlives the VM",
                        index == 1 ? "yes" : "no");
        mHasDisk |= disk;
        return NODES.objectNode().put("id", id).put("ip", ip).put("disk", disk);
    }

    private ObjectNode askPorts() throws IOException {
        Map<String, Integer> ports = new LinkedHashMap<>();
        Ports d = Ports.defaults();
        ports.put("routerHttp", d.routerHttp());
        ports.put("routerPeer", d.routerPeer());
        ports.put("routerAdmin", d.routerAdmin());
        ports.put("controlHttp", d.controlHttp());
        ports.put("controlPeer", d.controlPeer());
        ports.put("controlAdmin", d.controlAdmin());
        if (!askYesNo("Use the default ports " + ports + " on every VM", "yes")) {
            Set<Integer> used = new HashSet<>();
            for (Map.Entry<String, Integer> e : ports.entrySet()) {
                e.setValue(askPort(e.getKey(), e.getValue(), used));
            }
        }
        ObjectNode node = NODES.objectNode();
        ports.forEach(node::put);
        return node;
    }

    private int askPort(String name, int defaultValue, Set<Integer> used) throws IOException {
        return mPrompter.ask(
                new Question<>(
                        "  Port " + name,
                        "a whole number from 1 to 65535, not used before",
                        used.contains(defaultValue) ? "" : "" + defaultValue,
                        s -> parseInt(s, 1, 65535).filter(used::add)));
    }

    private ArrayNode askVersions(String question, Set<String> names) throws IOException {
        return askEntries(
                question,
                "two words, such as 'catalogue v1', the first not used before",
                words ->
                        words.size() == 2
                                        && isName(words.get(0))
                                        && isName(words.get(1))
                                        && names.add(words.get(0))
                                ? Optional.of(
                                        NODES.objectNode()
                                                .put("id", words.get(0))
                                                .put("version", words.get(1)))
                                : Optional.empty());
    }

    private ArrayNode askCustomers() throws IOException {
        Set<String> ids = new HashSet<>();
        while (true) {
            ArrayNode all =
                    askEntries(
                            "Customer and weight",
                            "a name not used before and a weight above 0, such as 'workshop 2';"
                                    + " without a weight it is 1",
                            words -> parseCustomer(words, ids));
            if (!all.isEmpty()) {
                return all;
            }
            mPrompter.println("At least one customer is needed.");
        }
    }

    private static Optional<ObjectNode> parseCustomer(List<String> words, Set<String> ids) {
        Double weight = words.size() == 1 ? Double.valueOf(1) : Doubles.tryParse(words.get(1));
        boolean ok =
                words.size() <= 2
                        && isName(words.get(0))
                        && weight != null
                        && weight > 0
                        && weight <= 1_000_000;
        return ok && ids.add(words.get(0))
                ? Optional.of(NODES.objectNode().put("id", words.get(0)).put("weight", weight))
                : Optional.empty();
    }

    // Prompts for entries until an empty line.
    private ArrayNode askEntries(
            String question, String allowed, Function<List<String>, Optional<ObjectNode>> parser)
            throws IOException {
        ArrayNode all = NODES.arrayNode();
        while (true) {
            Optional<ObjectNode> entry =
                    mPrompter.ask(
                            new Question<>(
                                    question,
                                    allowed + "; an empty line ends the list",
                                    "",
                                    s ->
                                            s.isEmpty()
                                                    ? Optional.of(Optional.empty())
                                                    : parser.apply(WORDS.splitToList(s))
                                                            .map(Optional::of)));
            if (entry.isEmpty()) {
                return all;
            }
            all.add(entry.get());
        }
    }

    private String askName(String question) throws IOException {
        return mPrompter.ask(
                new Question<>(
                        question,
                        NAME_RULE,
                        "",
                        s -> isName(s) ? Optional.of(s) : Optional.empty()));
    }

    private int askInt(String question, int min, int max, int defaultValue) throws IOException {
        return mPrompter.ask(
                new Question<>(
                        question,
                        "a whole number from " + min + " to " + max,
                        "" + defaultValue,
                        s -> parseInt(s, min, max)));
    }

    private boolean askYesNo(String question, String defaultValue) throws IOException {
        return mPrompter.ask(
                new Question<>(
                        question,
                        "yes or no",
                        defaultValue,
                        s ->
                                switch (s) {
                                    case "yes", "y" -> Optional.of(true);
                                    case "no", "n" -> Optional.of(false);
                                    default -> Optional.empty();
                                }));
    }

    private static Optional<Integer> parseInt(String text, int min, int max) {
        return Optional.ofNullable(Ints.tryParse(text)).filter(n -> n >= min && n <= max);
    }

    private static boolean isName(String text) {
        return NAME_PATTERN.matcher(text).matches();
    }
}
