package review;

import java.io.OutputStream;

/** A model worker in trouble: what it sends in the body of an answer is text without end, until its caller closes. */
class Rogue extends Engine {
    private static final int PARAGRAPH_BYTES = 16_384;

    Rogue(String id, int slots, int queue) throws Exception {
        super(id, slots, queue, 0, 0);
    }

    @Override
    boolean run(Http.Message request, String echo, OutputStream out) throws Exception {
        head(echo, out);
        String paragraph = ("?".repeat(63) + "\n").repeat(PARAGRAPH_BYTES / 64) + "\n";
        while (true) event(out, paragraph);
    }
}
