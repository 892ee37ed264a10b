package umberrun;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import umberrun.Processes.Node;

/**
 * Clients of a real process that close their connections while much of what they sent is unread.
 */
public class DepartedClientsIT {
  private static final int CLIENTS = 2;
  private static final long MILLIS = 5_000;

  /** An attempt for a client that has gone may begin this much later, with the slack of sockets. */
  private static final long MAX_NANOS = TimeUnit.MILLISECONDS.toNanos(100 + 50);

  /** The number of calls that a client sends before it goes, each behind many revocations. */
  private static final int CALLS = 10;

  private static final int REVOCATIONS = 20_000;

  private static final long PAUSE_MILLIS = 400;

  /** A client has calls of numbers that begin with its own number. */
  private static final int NUMBER_BITS = 16;

  private final AtomicLong lastClient = new AtomicLong(0x4000_0000L);
  private final Map<Long, Long> leftAt = new ConcurrentHashMap<>();
  private final Queue<String> late = new ConcurrentLinkedQueue<>();
  private final AtomicInteger begun = new AtomicInteger();
  private volatile boolean finished;

  /** Guards against calls that begin long after their client has closed its connection. */
  @Test
  public void nothingBeginsForClientsThatHaveGone() throws Exception {
    try (Processes fleet = new Processes(1, 8, null)) {
      Node node = fleet.nodes.get(0);
      fleet.workers.forEach(this::recordLateCalls);
      Processes.await("too few calls", 20, () -> fleet.served.get() > 200);
      byte[] filler = revocations();
      for (int i = 0; i < CLIENTS; i++) {
        Scenario.daemon(() -> comeAndGo(node.rpcPort, filler));
      }
      Thread.sleep(MILLIS);
      finished = true;
      String result = leftAt.size() + " clients left, " + begun + " of their calls began";
      System.err.println("departed clients: " + result + ", late: " + late.size());
      assertTrue(result, leftAt.size() > CLIENTS);
      assertEquals(result, List.of(), List.copyOf(late));
      assertEquals(result, List.of(), List.copyOf(fleet.faults));
    }
  }

  private void comeAndGo(int port, byte[] filler) throws IOException {
    while (!finished) {
      long client = lastClient.incrementAndGet();
      AtomicLong numbers = new AtomicLong(client << NUMBER_BITS);
      Socket socket = new Socket();
      try {
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        for (int i = 0; i < CALLS; i++) {
          socket.getOutputStream().write(filler);
          socket.getOutputStream().write(call(1 + i, numbers.incrementAndGet()));
        }
      } catch (IOException e) {
        // The front end has closed the connection.
      } finally {
        socket.close();
        leftAt.put(client, System.nanoTime());
      }
      pause();
    }
  }

  private static void pause() {
    try {
      Thread.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static byte[] call(int id, long number) throws IOException {
    MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
    String text = String.format("%016x", number);
    Map<String, String> fields =
        Map.of("rid", text, "budget", "2000", "acct", "central-council", "obj", text);
    packer.packArrayHeader(4).packInt(0).packInt(id).packString("date-lookup");
    packer.packArrayHeader(2).packMapHeader(fields.size());
    for (Map.Entry<String, String> field : fields.entrySet()) {
      packer.packString(field.getKey()).packString(field.getValue());
    }
    packer.packBinaryHeader(0);
    return packer.toByteArray();
  }

  /** Revocations of requests that were never sent, which get no answer. */
  private static byte[] revocations() throws IOException {
    MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
    for (int i = 0; i < REVOCATIONS; i++) {
      packer.packArrayHeader(3).packInt(2).packString("revoke");
      packer.packArrayHeader(1).packInt(100_000 + i);
    }
    return packer.toByteArray();
  }

  /** Has a worker answer each call, and record those that come long after their client has gone. */
  private void recordLateCalls(Scenario.Worker worker) {
    MessageFloodIT.answerWithoutRecord(worker);
    var answer = worker.handler;
    worker.handler =
        command -> {
          if (command.words().get(0).equals("RUN")) {
            record(Long.parseUnsignedLong(command.words().get(1), 16));
          }
          answer.accept(command);
        };
  }

  private void record(long number) {
    Long left = leftAt.get(number >> NUMBER_BITS);
    if (number >> NUMBER_BITS > 0x4000_0000L) {
      begun.incrementAndGet();
    }
    if (left != null && System.nanoTime() - left > MAX_NANOS) {
      late.add((System.nanoTime() - left) / 1_000_000 + " ms after client " + (number >> 16));
    }
  }
}
