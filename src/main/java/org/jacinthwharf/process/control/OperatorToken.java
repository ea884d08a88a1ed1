package org.jacinthwharf.process.control;

import static com.google.common.base.Preconditions.checkArgument;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;

/**
 * The bearer token that operators must present.
 *
 * <p>Immutable. Invariants: tokens are compared in constant time; the token appears in no log line.
 */
final class OperatorToken {
    private static final String SCHEME = "Bearer ";

    private final byte[] mToken;

    OperatorToken(String token) {
        checkArgument(!token.isBlank(), "the operator token is empty");
        mToken = token.trim().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Reads the token from a file.
     *
     * @throws IOException if the file cannot be read
     * @throws IllegalArgumentException if the file is empty
     */
    static OperatorToken read(Path file) throws IOException {
        return new OperatorToken(Files.readString(file));
    }

    /** Returns whether the value of an {@code Authorization} header holds the token. */
    boolean matches(String authorization) {
        if (!authorization.startsWith(SCHEME)) {
            return false;
        }
        byte[] given = authorization.substring(SCHEME.length()).getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(given, mToken);
    }
}
