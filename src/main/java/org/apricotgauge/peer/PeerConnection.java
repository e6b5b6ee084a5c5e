package org.apricotgauge.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Arrays;
import org.apricotgauge.decision.gossip.PeerMessage;

/** One TCP connection with its frames on the way in and out; used by the loop's thread alone. */
final class PeerConnection {
    private static final int FIRST_BUFFER_BYTES = 4 << 10;
    private static final int MAX_QUEUED_BYTES = 4 << 20;
    private static final int MAX_QUEUED_FRAMES = 1_024;

    /** Takes whole frames. */
    interface Sink {
        void onFrame(byte[] bytes, int offset, int length) throws IOException;

        /** Returns whether frames are still wanted. */
        boolean open();
    }

    private final long mLink;
    private final SocketChannel mChannel;
    private final SelectionKey mKey;
    private final TransportCounters mCounters;
    private final ArrayDeque<ByteBuffer> mOut = new ArrayDeque<>();
    private byte[] mIn = new byte[FIRST_BUFFER_BYTES];
    private int mInBytes;
    private int mOutBytes;

    PeerConnection(long link, SocketChannel channel, SelectionKey key, TransportCounters counters) {
        mLink = link;
        mChannel = channel;
        mKey = key;
        mCounters = counters;
    }

    long link() {
        return mLink;
    }

    SocketChannel channel() {
        return mChannel;
    }

    SelectionKey key() {
        return mKey;
    }

    /** Queues a frame; returns false if the queue is full. */
    boolean enqueue(byte[] frame) {
        // A peer that stops reading must cost a bounded amount of memory here; its link is closed
        // and it catches up by anti-entropy.
        if (mOut.size() >= MAX_QUEUED_FRAMES || mOutBytes + frame.length > MAX_QUEUED_BYTES) {
            return false;
        }
        mOut.add(ByteBuffer.wrap(frame));
        mOutBytes += frame.length;
        mCounters.framesOut().inc();
        return true;
    }

    /** Writes what the socket takes. */
    void flush() throws IOException {
        if (!mChannel.isConnected()) {
            return;
        }
        while (!mOut.isEmpty()) {
            long written = mChannel.write(mOut.toArray(ByteBuffer[]::new));
            mOutBytes -= (int) written;
            mCounters.bytesOut().inc(written);
            while (!mOut.isEmpty() && !mOut.peek().hasRemaining()) {
                mOut.poll();
            }
            if (written == 0) {
                break;
            }
        }
        int interest = mOut.isEmpty() ? 0 : SelectionKey.OP_WRITE;
        mKey.interestOps(SelectionKey.OP_READ | interest);
    }

    /** Reads what is there; returns false at the end of the stream. */
    boolean read(ByteBuffer scratch, Sink sink) throws IOException {
        scratch.clear();
        int count = mChannel.read(scratch);
        if (count < 0) {
            return false;
        }
        mCounters.bytesIn().inc(count);
        scratch.flip();
        makeRoom(mInBytes + count);
        scratch.get(mIn, mInBytes, count);
        mInBytes += count;
        takeFrames(sink);
        return true;
    }

    private void takeFrames(Sink sink) throws IOException {
        int start = 0;
        while (sink.open() && mInBytes - start >= MessageCodec.LENGTH_BYTES) {
            int length = ByteBuffer.wrap(mIn, start, MessageCodec.LENGTH_BYTES).getInt();
            if (length < 1 || length > MessageCodec.MAX_FRAME_BYTES) {
                throw new IOException("frame length " + length);
            }
            int end = start + MessageCodec.LENGTH_BYTES + length;
            if (end > mInBytes) {
                makeRoom(end - start);
                break;
            }
            mCounters.framesIn().inc();
            sink.onFrame(mIn, start + MessageCodec.LENGTH_BYTES, length);
            start = end;
        }
        mInBytes -= start;
        System.arraycopy(mIn, start, mIn, 0, mInBytes);
        if (mInBytes == 0 && mIn.length > 16 * FIRST_BUFFER_BYTES) {
            mIn = new byte[FIRST_BUFFER_BYTES];
        }
    }

    private void makeRoom(int bytes) {
        if (bytes > mIn.length) {
            mIn = Arrays.copyOf(mIn, Math.max(bytes, 2 * mIn.length));
        }
    }

    /** Encodes a message once for all links that it goes to in a row. */
    static final class EncodedOnce {
        private PeerMessage mMessage;
        private byte[] mFrame;

        byte[] frameOf(PeerMessage message) {
            if (message != mMessage) {
                mFrame = MessageCodec.encode(message);
                mMessage = message;
            }
            return mFrame;
        }
    }
}
