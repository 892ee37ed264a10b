package umberrun.fleet.net;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import umberrun.fleet.net.FleetCodec.Frame;
import umberrun.fleet.net.FleetCodec.UndecodableException;

/** A blocking client for operator commands, which sends one request to a running member. */
public final class FleetClient {
  private static final int TIMEOUT_MILLIS = 5_000;

  private FleetClient() {}

  /** Sends a request without arguments and returns the answer, which is JSON. */
  public static String ask(String host, int port, Frame.Kind kind) throws IOException {
    return ask(host, port, kind, "");
  }

  /**
   * Sends a request and returns the answer, which is JSON.
   *
   * @param words for a CALL the topic and its arguments, separated by white space
   */
  public static String ask(String host, int port, Frame.Kind kind, String words)
      throws IOException {
    FleetCodec codec = new FleetCodec("");
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.connect(new InetSocketAddress(host, port), TIMEOUT_MILLIS);
      byte[] request = codec.encode(new Frame(kind, true, List.of(), words));
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(request.length);
      out.write(request);
      out.flush();
      DataInputStream in = new DataInputStream(socket.getInputStream());
      StringBuilder text = new StringBuilder();
      while (true) {
        int length = in.readInt();
        if (length <= 0 || length > FleetCodec.MAX_FRAME_BYTES) {
          throw new IOException("the answer is not a frame of the fleet protocol");
        }
        Frame frame = codec.decodeFrame(in.readNBytes(length));
        text.append(frame.text());
        if (frame.last()) {
          return text.toString();
        }
      }
    } catch (UndecodableException e) {
      throw new IOException(e.getMessage(), e);
    }
  }
}
