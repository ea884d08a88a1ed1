import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to {@code record.txt}, with seconds since its start. */
final class Record implements AutoCloseable {
    private final PrintWriter mWriter;
    private final long mStartNanos = System.nanoTime();

    Record(Path file) throws IOException {
        mWriter = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - mStartNanos) / 1e9;
    }

    synchronized void line(String format, Object... arguments) {
        mWriter.printf(Locale.ROOT, "%8.3f  %s%n", seconds(), String.format(Locale.ROOT, format, arguments));
        mWriter.flush();
    }

    /** Writes a line and shows it. */
    void show(String format, Object... arguments) {
        String text = String.format(Locale.ROOT, format, arguments);
        line("%s", text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        mWriter.close();
    }
}
