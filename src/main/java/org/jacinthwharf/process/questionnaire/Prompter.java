package org.jacinthwharf.process.questionnaire;

import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.Optional;
import java.util.function.Function;

/**
 * Asks one question at a time in a terminal, and again until the answer is allowed.
 *
 * <p>Not thread-safe. Invariant: a returned answer was accepted by the question's parser.
 */
final class Prompter {
    private final BufferedReader mIn;
    private final PrintWriter mOut;

    Prompter(BufferedReader in, PrintWriter out) {
        mIn = in;
        mOut = out;
    }

    /**
     * A question.
     *
     * @param text what is asked
     * @param allowed what is allowed, in plain words
     * @param byDefault the answer that an empty line stands for; empty if there is none
     * @param parser returns the value, or empty if the answer is not allowed
     */
    record Question<T>(
            String text, String allowed, String byDefault, Function<String, Optional<T>> parser) {}

    /**
     * Asks until the answer is allowed.
     *
     * @throws EOFException if the input ends before
     */
    <T> T ask(Question<T> question) throws IOException {
        while (true) {
            String shown = question.byDefault().isEmpty() ? "" : " [" + question.byDefault() + "]";
            mOut.print(question.text() + " (" + question.allowed() + ")" + shown + ": ");
            mOut.flush();
            String line = mIn.readLine();
            if (line == null) {
                throw new EOFException("the input ended at the question '" + question.text() + "'");
            }
            String given = line.isBlank() ? question.byDefault() : line.strip();
            Optional<T> value = question.parser().apply(given);
            if (value.isPresent()) {
                return value.get();
            }
            mOut.println("  '" + given + "' is not allowed; allowed: " + question.allowed());
        }
    }

    /** Prints a line that is no question. */
    void say(String text) {
        mOut.println(text);
    }
}
