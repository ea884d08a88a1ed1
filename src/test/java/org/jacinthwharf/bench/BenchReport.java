package org.jacinthwharf.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/**
 * Collects the figures of one run and compares them with their bounds.
 *
 * <p>Not thread-safe.
 */
public final class BenchReport {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ObjectNode mRoot = JSON.createObjectNode();
    private final ArrayNode mFigures = mRoot.putArray("figures");
    private final PrintStream mOut;
    private String mSection = "";
    private int mExceeded;

    /** Creates an empty report that prints each figure as it is added. */
    public BenchReport(PrintStream out) {
        mOut = out;
        mRoot.put("cores", Runtime.getRuntime().availableProcessors());
        mRoot.put("java", System.getProperty("java.runtime.version"));
    }

    /** Starts a section of the table. */
    public void section(String name) {
        mSection = name;
        mOut.printf("%n%s%n", name);
    }

    /** Adds a figure without a bound. */
    public void add(String name, double value, String unit) {
        addRow(name, value, unit, "");
    }

    /** Adds a figure that must be at most {@code bound}. */
    public void atMost(String name, double value, double bound, String unit) {
        addBounded(name, value, unit, "at most ", bound, value <= bound);
    }

    /** Adds a figure that must be at least {@code bound}. */
    public void atLeast(String name, double value, double bound, String unit) {
        addBounded(name, value, unit, "at least ", bound, value >= bound);
    }

    /** Adds a figure and the target that it is compared with, without effect on the exit code. */
    public void compare(String name, double value, double target, String unit) {
        String verdict = value <= target ? " (not above)" : " (above)";
        addRow(name, value, unit, "compare with " + format(target) + verdict);
    }

    /** Records that a section could not be measured; this counts as an exceeded bound. */
    public void failed(String reason) {
        mExceeded++;
        mFigures.addObject().put("part", mSection).put("failed", reason);
        mOut.printf("  NOT MEASURED: %s%n", reason);
    }

    /** Returns the number of exceeded bounds. */
    public int exceeded() {
        return mExceeded;
    }

    /** Writes all figures as JSON. */
    public void write(Path file) throws IOException {
        Files.createDirectories(file.getParent());
        mRoot.put("exceeded", mExceeded);
        JSON.writerWithDefaultPrettyPrinter().writeValue(file.toFile(), mRoot);
    }

    // Every comparison with NaN is false, so NaN counts as exceeded.
    private void addBounded(
            String name, double value, String unit, String relation, double bound, boolean held) {
        mExceeded += held ? 0 : 1;
        addRow(name, value, unit, relation + format(bound) + (held ? ": met" : ": EXCEEDED"));
        ((ObjectNode) mFigures.get(mFigures.size() - 1)).put("bound", bound).put("held", held);
    }

    private void addRow(String name, double value, String unit, String note) {
        mFigures.addObject()
                .put("part", mSection)
                .put("name", name)
                .put("value", value)
                .put("unit", unit);
        mOut.printf("  %-58s %12s %-12s %s%n", name, format(value), unit, note);
        mOut.flush();
    }

    private static String format(double value) {
        String pattern = Math.abs(value) >= 100 ? "%.0f" : Math.abs(value) >= 1 ? "%.2f" : "%.4f";
        return String.format(Locale.ROOT, pattern, value);
    }
}
