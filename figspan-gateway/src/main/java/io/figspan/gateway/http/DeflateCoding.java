package io.figspan.gateway.http;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** The content coding "deflate" of RFC 9110, section 8.4.1.2: the zlib format of RFC 1950. */
public final class DeflateCoding {
    /** Name in the Accept-Encoding and Content-Encoding headers. */
    public static final String NAME = "deflate";

    private static final int BUFFER_BYTES = 16 * 1_024;

    private DeflateCoding() {}

    /** Compresses a body, preferring speed over size. */
    public static byte[] compress(byte[] body) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(body);
            deflater.finish();
            ByteArrayOutputStream compressed = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                compressed.write(buffer, 0, deflater.deflate(buffer));
            }
            return compressed.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * Decompresses a body.
     *
     * @throws DataFormatException if the body is malformed, incomplete or longer than {@code maxBytes}
     */
    public static byte[] decompress(byte[] compressed, int maxBytes) throws DataFormatException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int length = inflater.inflate(buffer);
                if (length == 0 && !inflater.finished()) {
                    throw new DataFormatException("the compressed body is incomplete");
                }
                if (body.size() + length > maxBytes) {
                    throw new DataFormatException("the body is longer than " + maxBytes + " bytes");
                }
                body.write(buffer, 0, length);
            }
            return body.toByteArray();
        } finally {
            inflater.end();
        }
    }
}
