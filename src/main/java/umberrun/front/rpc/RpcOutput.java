package umberrun.front.rpc;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import umberrun.transport.ConnectionInput;

/**
 * The messages to one client. Those that come soon after each other are written together. Reading
 * pauses while the client does not receive its answers, so that they cannot accumulate here.
 */
final class RpcOutput {
  /** While more bytes wait to be sent, nothing is read from the client. */
  private static final int WRITE_QUEUE_BYTES = 64 << 10;

  /** A message of this size or more is written by itself instead of with others. */
  private static final int MAX_BATCHED_BYTES = 8 << 10;

  private final RpcServer server;
  private final NetSocket socket;
  private final ConnectionInput input;

  /** Messages that are written together after the current work. */
  private Buffer batch = Buffer.buffer();

  private boolean flushScheduled;

  /** Bytes that wait to be sent, {@link #batch} included. */
  private long queuedBytes;

  private boolean closed;

  RpcOutput(RpcServer server, NetSocket socket, ConnectionInput input) {
    this.server = server;
    this.socket = socket;
    this.input = input;
    socket.setWriteQueueMaxSize(WRITE_QUEUE_BYTES);
  }

  /** Sends a message, together with others that are sent soon after. */
  void write(Buffer message) {
    server.addQueuedBytes(message.length());
    queuedBytes += message.length();
    if (message.length() >= MAX_BATCHED_BYTES) {
      flush();
      send(message);
    } else {
      batch.appendBuffer(message);
      scheduleFlush();
    }
  }

  private void scheduleFlush() {
    if (!flushScheduled) {
      flushScheduled = true;
      server
          .vertx()
          .runOnContext(
              v -> {
                flushScheduled = false;
                flush();
              });
    }
  }

  /** Passes all messages on to the socket. */
  void flush() {
    if (batch.length() > 0 && !closed) {
      Buffer messages = batch;
      batch = Buffer.buffer();
      send(messages);
    }
  }

  private void send(Buffer messages) {
    socket.write(messages).onComplete(v -> onSent(messages.length()));
    if (isCrowded()) {
      input.pause();
    }
  }

  private void onSent(int bytes) {
    queuedBytes -= bytes;
    server.addQueuedBytes(-bytes);
    if (!isCrowded()) {
      input.resume();
    }
  }

  /** Whether so much waits to be sent that the client does not seem to read. */
  boolean isFull() {
    return socket.writeQueueFull();
  }

  /**
   * Whether too much waits to be sent on this connection. Where the answers of all connections
   * together take much memory, that is so as long as anything waits on it.
   */
  private boolean isCrowded() {
    return isFull() || queuedBytes > 0 && !server.hasRoomFor(0);
  }

  /** Passes on what is left; nothing may be written after this. */
  void close() {
    flush();
    closed = true;
  }
}
