package umberrun;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import umberrun.Processes.Node;

/** Hundreds of clients of a real process that stop in the middle of what they send. */
public class SlowClientsIT {
  private static final int RPC_CLIENTS = 300;
  private static final int HTTP_CLIENTS = 120;
  private static final long MILLIS = 6_000;
  private static final int LARGE_BODY_BYTES = 16 << 10;
  private static final int FIELDS = 60;
  private static final int SHORT_HEADER_FIELDS = 2_000;

  /**
   * By how much the resident memory may grow: the budget for what was received of clients (a
   * twenty-fourth of 192 MB), 128 connections of the invoke API with the largest head (8 KiB and
   * the objects for 128 lines), and the young generation, which fills whatever is done.
   */
  private static final long MAX_GROWTH_KB = (8 + 5 + 16) << 10;

  private volatile boolean finished;

  /** Guards against parts of messages and of HTTP heads that are in no account. */
  @Test
  public void partsOfRequestsTakeLittleMemory() throws Exception {
    int invokePort = Processes.freePort();
    Map<String, Object> invoke = Map.of("invoke", Map.of("listen", "127.0.0.1:" + invokePort));
    try (Processes fleet = new Processes(1, 4, n -> invoke)) {
      Node node = fleet.nodes.get(0);
      fleet.workers.forEach(MessageFloodIT::answerWithoutRecord);
      Processes.await("too few calls", 20, () -> fleet.served.get() > 500);
      long before = MessageFloodIT.memoryKb(node, "VmRSS:");
      byte[] half = halfOfLargeRequest();
      byte[] head = shortFields();
      for (int i = 0; i < RPC_CLIENTS; i++) {
        Scenario.daemon(() -> sendSlowly(node.rpcPort, half));
      }
      for (int i = 0; i < HTTP_CLIENTS; i++) {
        Scenario.daemon(() -> sendSlowly(invokePort, head));
      }
      int servedBefore = fleet.served.get();
      Thread.sleep(MILLIS);
      finished = true;
      long growth = MessageFloodIT.peakKb(node) - before;
      int served = fleet.served.get() - servedBefore;
      System.err.println("slow clients: grew by " + (growth >> 10) + " MB, served " + served);
      assertTrue("the process has ended", node.process.isAlive());
      assertTrue("grew by " + growth + " KB", growth < MAX_GROWTH_KB);
      assertEquals(List.of(), List.copyOf(fleet.faults));
      assertTrue("served " + served, served > 100);
    }
  }

  private void sendSlowly(int port, byte[] part) throws IOException {
    while (!finished) {
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
        OutputStream out = socket.getOutputStream();
        out.write(part, 0, part.length - 100);
        for (byte b : Arrays.copyOfRange(part, part.length - 100, part.length)) {
          Thread.sleep(100);
          out.write(b);
        }
      } catch (IOException e) {
        // The front end has closed the connection.
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** A request of the platform's protocol without the second half of its body. */
  private static byte[] halfOfLargeRequest() throws IOException {
    MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
    packer.packArrayHeader(4).packInt(0).packInt(1).packString("date-lookup");
    packer.packArrayHeader(2).packMapHeader(FIELDS);
    for (int i = 0; i < FIELDS; i++) {
      packer.packString("field-" + i).packString("x".repeat(200));
    }
    packer.packBinaryHeader(LARGE_BODY_BYTES).writePayload(new byte[LARGE_BODY_BYTES / 2]);
    return packer.toByteArray();
  }

  /** The beginning of an HTTP head with very many short fields. */
  private static byte[] shortFields() {
    StringBuilder head = new StringBuilder("GET /v1/health HTTP/1.1\r\n");
    for (int i = 0; i < SHORT_HEADER_FIELDS; i++) {
      head.append((char) ('a' + i % 26)).append(":\r\n");
    }
    return head.toString().getBytes(StandardCharsets.US_ASCII);
  }
}
