package org.jacinthwharf.standin;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The text that stand-in backend servers generate. It depends only on the prompt, so a caller can
 * check that an answer is complete and belongs to its request.
 *
 * <p>Stateless and thread-safe.
 */
public final class StandInText {
    private StandInText() {}

    /** Returns token {@code index}, counted from 0, of the answer to {@code prompt}. */
    public static String token(String prompt, int index) {
        String hash = Hashing.sha256().hashString(prompt, StandardCharsets.UTF_8).toString();
        return hash.substring(0, 8) + "-" + index + " ";
    }

    /** Returns the complete answer to {@code prompt} with {@code tokens} tokens. */
    public static String answer(String prompt, int tokens) {
        String hash = Hashing.sha256().hashString(prompt, StandardCharsets.UTF_8).toString();
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(hash, 0, 8).append('-').append(i).append(' ');
        }
        return text.toString();
    }
}
