package org.jacinthwharf.process.questionnaire;

import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.Optional;
import java.util.function.Function;

/**
 * Prompts for one answer at a time, and repeats the prompt until the answer is valid.
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
     * @param text text of the prompt
     * @param allowed description of the valid answers
     * @param defaultAnswer answer that an empty line selects; empty if there is none
     * @param parser returns the value, or empty if the answer is invalid
     */
    record Question<T>(
            String text,
            String allowed,
            String defaultAnswer,
            Function<String, Optional<T>> parser) {}

    /**
     * Prompts until the answer is valid.
     *
     * @throws EOFException if the input ends before a valid answer
     */
    <T> T ask(Question<T> question) throws IOException {
        while (true) {
            String defaultHint =
                    question.defaultAnswer().isEmpty() ? "" : " [" + question.defaultAnswer() + "]";
            mOut.print(question.text() + " (" + question.allowed() + ")" + defaultHint + ": ");
            mOut.flush();
            String line = mIn.readLine();
            if (line == null) {
                throw new EOFException("the input ended at the question '" + question.text() + "'");
            }
            String given = line.isBlank() ? question.defaultAnswer() : line.strip();
            Optional<T> value = question.parser().apply(given);
            if (value.isPresent()) {
                return value.get();
            }
            mOut.println("  '" + given + "' is not allowed; allowed: " + question.allowed());
        }
    }

    /** Prints a line. */
    void println(String text) {
        mOut.println(text);
    }
}
