package umberrun;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Clients of the platform's protocol that send messages of one kind without waiting. */
final class FloodClients implements AutoCloseable {
  /** What the clients send. */
  enum Kind {
    /** Calls of ever new functions, each revoked at once. */
    REVOKED_FUNCTIONS,
    /** Calls of ever new functions that are not revoked. */
    NEW_FUNCTIONS,
    /** Calls of classes that do not exist. */
    NEW_CLASSES,
    HEARTBEATS,
    /** Calls without a request id and without a budget. */
    WITHOUT_ID,
    /** Calls of the invoke API of classes that do not exist. */
    HTTP_NEW_CLASSES,
    /** Requests of the invoke API for its health. */
    HTTP_HEALTH
  }

  private static final int MESSAGES_PER_WRITE = 64;
  private static final int RECEIVE_BUFFER_BYTES = 16 << 10;

  /** Bounds what the system holds of a flood, so that its clients do not take all processors. */
  private static final int SEND_BUFFER_BYTES = 64 << 10;

  /** Makes the request ids and functions of all floods of a test run distinct. */
  private static final AtomicLong LAST_NUMBER = new AtomicLong(0x7000_0000_0000_0000L);

  /** The messages written so far. */
  final AtomicInteger sent = new AtomicInteger();

  private final Kind kind;
  private final int port;
  private final boolean reads;
  private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private final List<Thread> writers = new ArrayList<>();
  private volatile boolean closed;

  /**
   * Starts to send.
   *
   * @param reads whether the clients read their answers
   */
  FloodClients(Kind kind, int port, int connections, boolean reads) {
    this.kind = kind;
    this.port = port;
    this.reads = reads;
    for (int i = 0; i < connections; i++) {
      writers.add(Scenario.daemon(this::run));
    }
  }

  private void run() throws IOException {
    while (!closed) {
      try (Socket socket = new Socket()) {
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.setSendBufferSize(SEND_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        sockets.add(socket);
        if (reads) {
          Scenario.daemon(
              () -> socket.getInputStream().transferTo(OutputStream.nullOutputStream()));
        }
        for (long id = 1; !closed; id += MESSAGES_PER_WRITE) {
          socket.getOutputStream().write(batch(kind, id));
          sent.addAndGet(MESSAGES_PER_WRITE);
        }
      } catch (IOException e) {
        // The front end has closed the connection, or does not listen.
        pause();
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(50);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Messages as one write sends them, with message ids from {@code firstId} on. */
  static byte[] batch(Kind kind, long firstId) throws IOException {

    if (kind == Kind.HTTP_NEW_CLASSES || kind == Kind.HTTP_HEALTH) {
      return httpBatch(kind);
    }
    MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
    for (int i = 0; i < MESSAGES_PER_WRITE; i++) {
      long number = LAST_NUMBER.incrementAndGet();
      switch (kind) {
        case REVOKED_FUNCTIONS -> {
          call(packer, firstId + i, "date-lookup", fields(number));
          packer.packArrayHeader(3).packInt(2).packString("revoke");
          packer.packArrayHeader(1).packLong(firstId + i);
        }
        case NEW_FUNCTIONS -> call(packer, firstId + i, "date-lookup", fields(number));
        case NEW_CLASSES -> call(packer, firstId + i, "class-" + number, fields(number));
        case HEARTBEATS -> call(packer, firstId + i, "heartbeat", Map.of());
        case WITHOUT_ID ->
            call(
                packer,
                firstId + i,
                "date-lookup",
                Map.of("acct", "central-council", "obj", String.format("%016x", number)));
        default -> throw new IllegalArgumentException(kind + " is not of this protocol");
      }
    }
    return packer.toByteArray();
  }

  private static byte[] httpBatch(Kind kind) {
    StringBuilder requests = new StringBuilder();
    for (int i = 0; i < MESSAGES_PER_WRITE; i++) {
      if (kind == Kind.HTTP_HEALTH) {
        requests.append("GET /v1/health HTTP/1.1\r\nHost: x\r\n\r\n");
      } else {
        String number = String.format("%016x", LAST_NUMBER.incrementAndGet());
        requests.append("POST /v1/functions/").append(number).append("/invocations HTTP/1.1\r\n");
        requests.append("Host: x\r\nInvoke-Class: c").append(number);
        requests.append("\r\nContent-Length: 0\r\n\r\n");
      }
    }
    return requests.toString().getBytes(StandardCharsets.US_ASCII);
  }

  private static Map<String, String> fields(long number) {
    String id = String.format("%016x", number);
    return Map.of("rid", id, "budget", "2000", "acct", "central-council", "obj", id);
  }

  private static void call(
      MessageBufferPacker packer, long id, String method, Map<String, String> fields)
      throws IOException {
    packer.packArrayHeader(4).packInt(0).packLong(id).packString(method);
    packer.packArrayHeader(method.equals("heartbeat") ? 1 : 2).packMapHeader(fields.size());
    for (Map.Entry<String, String> field : fields.entrySet()) {
      packer.packString(field.getKey()).packString(field.getValue());
    }
    if (!method.equals("heartbeat")) {
      packer.packBinaryHeader(2).writePayload(new byte[] {'h', 'i'});
    }
  }

  /** Closes the connections, whatever is still unread on them. */
  @Override
  public void close() throws Exception {
    closed = true;
    for (Socket socket : sockets) {
      socket.close();
    }
    for (Thread writer : writers) {
      writer.join();
    }
  }
}
